"""Steps that start the stand-ins."""

from behave import given


def read_options(context) -> dict[str, str]:
    """Return the options in the table of a step, or an empty dictionary without a table."""
    if context.table is None:
        return {}
    return {row["option"].replace(" ", "_"): row["value"] for row in context.table}


@given("a platform")
def start_platform(context):
    """Start a platform, with the object API and the host list.

    By default, changes appear in the host list without delay.
    """
    options = {"host_lag_s": 0, **read_options(context)}
    context.system.start_standin("platform", "platform", **options)


@given('an engine "{name:Word}" of {memory:d} MiB')
def start_empty_engine(context, name, memory):
    """Start an engine without loaded models."""
    options = {"memory_mib": memory, "load_s": 0.2, **read_options(context)}
    context.system.start_standin("engine", name, name=name, **options)


@given('an engine "{name:Word}" of {memory:d} MiB that holds model "{model:Word}" of {size:d} MiB')
def start_loaded_engine(context, name, memory, model, size):
    """Start an engine that has loaded version 1 of a model."""
    options = {"memory_mib": memory, "load_s": 0.2, **read_options(context)}
    preload = [f"{model}:1:{size}"]
    context.system.start_standin("engine", name, name=name, preload=preload, **options)


@given('an engine "{name:Word}" of {memory:d} MiB that loads from the weight store')
def start_engine_with_store(context, name, memory):
    """Start an engine that reads weights from the weight store, which sets its load times."""
    store = context.system.address("store")
    options = {"memory_mib": memory, "store": store, **read_options(context)}
    context.system.start_standin("engine", name, name=name, **options)


@given('a plain service "{name:Word}"')
def start_service(context, name):
    """Start an application service that accepts orders."""
    context.system.start_standin("service", name, name=name, **read_options(context))


@given("a weight store")
def start_store(context):
    """Start the weight store that the engines share."""
    context.system.start_standin("store", "store", **read_options(context))
