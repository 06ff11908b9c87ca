"""Steps that send engine orders and read the engines' status."""

from behave import then, when


def send_engine_order(context, target, /, **order):
    """Send an engine order and keep its status code; the same words send the same order."""
    address = context.system.address(target)
    answer = context.system.calls.send(address, "POST", "/admin/orders", order)
    context.order_status = answer.unwrap().status


def read_status(context, name):
    """Return the exact status of an engine."""
    return context.system.calls.read(context.system.address(name), "/admin/status")


@when(
    'engine order "{order_id:Word}" loads model "{model:Word}" version "{version:Word}"'
    ' of {size:d} MiB on "{name:Word}"'
)
def load_model(context, order_id, model, version, size, name):
    """A load without a fencing number."""
    order = {"order_id": order_id, "kind": "load_model", "name": model, "version": version}
    send_engine_order(context, name, **order, memory_mib=size)


@when(
    'engine order "{order_id:Word}" with fencing number {fence:d} loads model "{model:Word}"'
    ' of {size:d} MiB on "{name:Word}"'
)
def load_model_fenced(context, order_id, fence, model, size, name):
    """A load by the holder of a lease."""
    order = {"order_id": order_id, "kind": "load_model", "name": model, "version": "1"}
    send_engine_order(context, name, **order, memory_mib=size, fence=fence)


@when(
    'engine order "{order_id:Word}" unloads model "{model:Word}" version "{version:Word}"'
    ' from "{name:Word}"'
)
def unload_model(context, order_id, model, version, name):
    """An unload without a fencing number."""
    order = {"order_id": order_id, "kind": "unload_model", "name": model, "version": version}
    send_engine_order(context, name, **order)


@when('"{name:Word}" is fenced with number {fence:d}')
def fence_engine(context, name, fence):
    """From now on the engine refuses older fencing numbers, if it checks them."""
    send_engine_order(context, name, order_id=f"fence-{fence}", kind="fence", fence=fence)


@then("the engine order is accepted")
def check_accepted(context):
    """Accepted says nothing about whether it takes effect."""
    assert context.order_status == 202, context.order_status


@then("the engine order is refused as stale")
def check_stale(context):
    """409: the fencing number is older than the engine's."""
    assert context.order_status == 409, context.order_status


@then('engine order "{order_id:Word}" is "{state:Word}" on "{name:Word}"')
def check_order_state(context, order_id, state, name):
    """Wait until the engine reports the state."""
    context.system.calls.wait_until(
        lambda: read_status(context, name)["orders"].get(order_id) == state,
        f"engine order {order_id} {state} on {name}",
    )


@then('engine order "{order_id:Word}" is not known to "{name:Word}"')
def check_order_unknown(context, order_id, name):
    """The engine has no trace of the order."""
    orders = read_status(context, name)["orders"]
    assert order_id not in orders, orders


@then('"{name:Word}" uses {size:d} MiB')
def check_used(context, name, size):
    """Wait until this much memory is in use, loads in progress included."""
    context.system.calls.wait_until(
        lambda: read_status(context, name)["used_mib"] == size, f"{size} MiB used on {name}"
    )


@then('"{name:Word}" holds "{names:Word}"')
def check_residents(context, name, names):
    """Exactly these are loaded; names are separated by commas, with versions after a colon."""
    residents = read_status(context, name)["residents"]
    held = sorted(f"{resident['name']}:{resident['version']}" for resident in residents)
    assert held == sorted(part.strip() for part in names.split(",")), held
