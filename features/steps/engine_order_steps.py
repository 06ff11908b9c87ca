"""Steps that send orders to engines and check the status of the engines."""

from behave import then, when


def send_engine_order(context, target, /, **order):
    """Send an engine order and store the status code of the answer in the context.

    The same arguments send the same order again.
    """
    address = context.system.address(target)
    answer = context.system.http.send(address, "POST", "/admin/orders", order)
    context.order_status = answer.unwrap().status


def read_status(context, name):
    """Return the status of an engine as it reports it."""
    return context.system.http.read_json(context.system.address(name), "/admin/status")


@when(
    'engine order "{order_id:Word}" loads model "{model:Word}" version "{version:Word}"'
    ' of {size:d} MiB on "{name:Word}"'
)
def load_model(context, order_id, model, version, size, name):
    """Order an engine to load a model, without a fencing number."""
    order = {"order_id": order_id, "kind": "load_model", "name": model, "version": version}
    send_engine_order(context, name, **order, memory_mib=size)


@when(
    'engine order "{order_id:Word}" with fencing number {fence:d} loads model "{model:Word}"'
    ' of {size:d} MiB on "{name:Word}"'
)
def load_model_fenced(context, order_id, fence, model, size, name):
    """Order an engine to load a model, with the fencing number of a lease."""
    order = {"order_id": order_id, "kind": "load_model", "name": model, "version": "1"}
    send_engine_order(context, name, **order, memory_mib=size, fence=fence)


@when(
    'engine order "{order_id:Word}" unloads model "{model:Word}" version "{version:Word}"'
    ' from "{name:Word}"'
)
def unload_model(context, order_id, model, version, name):
    """Order an engine to unload a model, without a fencing number."""
    order = {"order_id": order_id, "kind": "unload_model", "name": model, "version": version}
    send_engine_order(context, name, **order)


@when('"{name:Word}" is fenced with number {fence:d}')
def fence_engine(context, name, fence):
    """Raise the fencing number of an engine.

    An engine that checks fencing numbers then refuses orders with older ones.
    """
    send_engine_order(context, name, order_id=f"fence-{fence}", kind="fence", fence=fence)


@then("the engine order is accepted")
def check_accepted(context):
    """Check for status 202; an accepted order may still fail to take effect."""
    assert context.order_status == 202, context.order_status


@then("the engine order is refused as stale")
def check_stale(context):
    """Check for status 409: the fencing number is older than that of the engine."""
    assert context.order_status == 409, context.order_status


@then('engine order "{order_id:Word}" is "{state:Word}" on "{name:Word}"')
def check_order_state(context, order_id, state, name):
    """Wait until the engine reports the order in this state."""
    context.system.http.wait_until(
        lambda: read_status(context, name)["orders"].get(order_id) == state,
        f"engine order {order_id} {state} on {name}",
    )


@then('engine order "{order_id:Word}" is not known to "{name:Word}"')
def check_order_unknown(context, order_id, name):
    """Check that the status of the engine does not contain the order."""
    orders = read_status(context, name)["orders"]
    assert order_id not in orders, orders


@then('"{name:Word}" uses {size:d} MiB')
def check_used(context, name, size):
    """Wait until this much memory is in use, including loads in progress."""
    context.system.http.wait_until(
        lambda: read_status(context, name)["used_mib"] == size, f"{size} MiB used on {name}"
    )


@then('"{name:Word}" holds "{names:Word}"')
def check_residents(context, name, names):
    """Check that exactly these models are loaded, given as ``name:version``, comma-separated."""
    residents = read_status(context, name)["residents"]
    loaded = sorted(f"{resident['name']}:{resident['version']}" for resident in residents)
    assert loaded == sorted(part.strip() for part in names.split(",")), loaded
