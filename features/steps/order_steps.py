"""Steps that send orders (bookings, print orders) and check how often they ran."""

from behave import then, when

PATHS = {"booking": "/bookings", "print order": "/print-orders"}
SERVICES = {"booking": "booking", "print order": "printing"}


@when('the {kind} "{key:Word}" is sent to "{target:Word}"')
def send_order(context, kind, key, target):
    """An order of one kind; the key is its Idempotency-Key."""
    context.order = send_one(context, kind, key, target)


def send_one(context, kind, key, target):
    """Send an order without waiting; a node has each service under its name."""
    path = PATHS[kind]
    if context.system.find(target).kind == "node":
        path = f"/services/{SERVICES[kind]}{path}"
    return context.system.send_order(target, path, key)


@then("the order is confirmed")
def check_confirmed(context):
    """Its answer arrived."""
    assert context.order.outcome.status in (200, 201), context.order.outcome


@then("the order gets no answer")
def check_no_answer(context):
    """The connection was lost after the order was sent."""
    seen = context.order.outcome
    assert (seen.status, seen.ran) == (0, "unknown"), seen


@then("the order is refused and did not run")
def check_refused(context):
    """A definite refusal."""
    assert context.order.outcome.ran == "no", context.order.outcome


@then('the order "{key:Word}" ran {count:d} time')
@then('the order "{key:Word}" ran {count:d} times')
def check_runs(context, key, count):
    """By the services' counts."""
    runs = context.system.count_orders()
    assert runs[key] == count, runs


@when('{count:d} bookings are sent to "{targets:Word}" in turn')
def send_many(context, count, targets):
    """With keys of their own."""
    names = [name.strip() for name in targets.split(",")]
    for number in range(count):
        send_one(context, "booking", f"m-{number}", names[number % len(names)])


@when('"{name:Word}" has started the order "{key:Word}"')
def wait_started(context, name, key):
    """Wait until the service runs it."""
    system = context.system

    def has_started() -> bool:
        return system.calls.read(system.address(name), "/counts")["orders"].get(key, 0) >= 1

    system.calls.wait_until(has_started, f"{key} started on {name}")


@then("the order's outcome is unknown")
def check_unknown(context):
    """The caller is told that it may have run."""
    assert context.order.outcome.ran == "unknown", context.order.outcome


@then("the order is refused as not run, or its outcome is unknown, or it is confirmed")
def check_truthful(context):
    """Any answer but silence; whether it is true is checked after the scenario."""
    seen = context.order.outcome
    assert seen.status in (200, 201) or seen.ran in ("no", "unknown"), seen


@then("every order is confirmed")
def check_all_confirmed(context):
    """All answers arrived."""
    seen = [order.outcome for order in context.system.orders]
    assert seen and all(outcome.status in (200, 201) for outcome in seen), seen


@then("{count:d} orders of the same key are confirmed")
def check_confirmed_count(context, count):
    """All attempts got the answer of the one run."""
    seen = [order.outcome for order in context.system.orders]
    assert sum(outcome.status in (200, 201) for outcome in seen) == count, seen


@when('a service has started the order "{key:Word}"')
def wait_started_anywhere(context, key):
    """Wait until some service runs it."""
    context.system.calls.wait_until(
        lambda: context.system.count_orders()[key] >= 1, f"{key} started"
    )


@when('the {kind} "{key:Word}" is sent to "{target:Word}" until it is recorded')
def send_until_recorded(context, kind, key, target):
    """As a caller does that was told that it did not run."""

    def is_recorded() -> bool:
        context.order = send_one(context, kind, key, target)
        return context.order.outcome.ran != "no"

    context.system.calls.wait_until(is_recorded, f"{key} recorded")


@then("every order ran once")
def check_each_once(context):
    """By the services' counts."""
    runs = context.system.count_orders()
    wrong = {order.key: runs[order.key] for order in context.system.orders if runs[order.key] != 1}
    assert not wrong, wrong
