"""Steps that start the stand-ins."""

from behave import given


def options_of(context) -> dict[str, str]:
    """Return the step's table of options, if it has one."""
    if context.table is None:
        return {}
    return {row["option"].replace(" ", "_"): row["value"] for row in context.table}


@given("a platform")
def start_platform(context):
    """The object API and the host list; without a table the host list does not lag."""
    options = {"host_lag_s": 0, **options_of(context)}
    context.system.start_standin("platform", "platform", **options)


@given('an engine "{name:Word}" of {memory:d} MiB')
def start_empty_engine(context, name, memory):
    """An engine that holds nothing."""
    options = {"memory_mib": memory, "load_s": 0.2, **options_of(context)}
    context.system.start_standin("engine", name, name=name, **options)


@given('an engine "{name:Word}" of {memory:d} MiB that holds model "{model:Word}" of {size:d} MiB')
def start_loaded_engine(context, name, memory, model, size):
    """An engine with version 1 of a model."""
    options = {"memory_mib": memory, "load_s": 0.2, **options_of(context)}
    preload = [f"{model}:1:{size}"]
    context.system.start_standin("engine", name, name=name, preload=preload, **options)


@given('an engine "{name:Word}" of {memory:d} MiB that loads from the weight store')
def start_engine_with_store(context, name, memory):
    """An engine whose loads take as long as the weight store takes."""
    store = context.system.address("store")
    options = {"memory_mib": memory, "store": store, **options_of(context)}
    context.system.start_standin("engine", name, name=name, **options)


@given('a plain service "{name:Word}"')
def start_service(context, name):
    """An application server that takes orders."""
    context.system.start_standin("service", name, name=name, **options_of(context))


@given("a weight store")
def start_store(context):
    """The weight store that all engines share."""
    context.system.start_standin("store", "store", **options_of(context))
