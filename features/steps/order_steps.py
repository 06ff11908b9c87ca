"""Steps that send orders (bookings and print orders) and check how often they ran."""

from behave import then, when

PATHS = {"booking": "/bookings", "print order": "/print-orders"}
SERVICES = {"booking": "booking", "print order": "printing"}


@when('the {kind} "{key:Word}" is sent to "{target:Word}"')
def send_order(context, kind, key, target):
    """Send an order with its Idempotency-Key and store it in the context."""
    context.order = send_order_to(context, kind, key, target)


def send_order_to(context, kind, key, target):
    """Send an order without waiting for its answer.

    A node forwards it by the name of the service in the path.
    """
    path = PATHS[kind]
    if context.system.find(target).kind == "node":
        path = f"/services/{SERVICES[kind]}{path}"
    return context.system.send_order(target, path, key)


@then("the order is confirmed")
def check_confirmed(context):
    """Check that the order was confirmed."""
    assert context.order.outcome.status in (200, 201), context.order.outcome


@then("the order gets no answer")
def check_no_answer(context):
    """Check that the connection was lost after the order was sent."""
    outcome = context.order.outcome
    assert (outcome.status, outcome.ran) == (0, "unknown"), outcome


@then("the order is refused and did not run")
def check_refused(context):
    """Check that the refusal states that the order did not run."""
    assert context.order.outcome.ran == "no", context.order.outcome


@then('the order "{key:Word}" ran {count:d} time')
@then('the order "{key:Word}" ran {count:d} times')
def check_run_count(context, key, count):
    """Check how often an order ran, from the counts of the services."""
    runs = context.system.count_order_runs()
    assert runs[key] == count, runs


@when('{count:d} bookings are sent to "{targets:Word}" in turn')
def send_many(context, count, targets):
    """Send bookings with distinct keys to the targets in turn."""
    names = [name.strip() for name in targets.split(",")]
    for number in range(count):
        send_order_to(context, "booking", f"m-{number}", names[number % len(names)])


@when('"{name:Word}" has started the order "{key:Word}"')
def wait_started(context, name, key):
    """Wait until a service has started an order."""
    system = context.system

    def has_started() -> bool:
        return system.http.read_json(system.address(name), "/counts")["orders"].get(key, 0) >= 1

    system.http.wait_until(has_started, f"{key} started on {name}")


@then("the order's outcome is unknown")
def check_unknown(context):
    """Check that the answer states that the order may have run."""
    assert context.order.outcome.ran == "unknown", context.order.outcome


@then("the order is refused as not run, or its outcome is unknown, or it is confirmed")
def check_truthful(context):
    """Check that the order got an answer.

    Whether the answer is correct is checked after the scenario.
    """
    outcome = context.order.outcome
    assert outcome.status in (200, 201) or outcome.ran in ("no", "unknown"), outcome


@then("every order is confirmed")
def check_all_confirmed(context):
    """Check that all orders were confirmed."""
    outcomes = [order.outcome for order in context.system.orders]
    assert outcomes and all(outcome.status in (200, 201) for outcome in outcomes), outcomes


@then("{count:d} orders of the same key are confirmed")
def check_confirmed_count(context, count):
    """Check how many attempts were confirmed; only one of them ran the order."""
    outcomes = [order.outcome for order in context.system.orders]
    assert sum(outcome.status in (200, 201) for outcome in outcomes) == count, outcomes


@when('a service has started the order "{key:Word}"')
def wait_started_anywhere(context, key):
    """Wait until any service has started an order."""
    context.system.http.wait_until(
        lambda: context.system.count_order_runs()[key] >= 1, f"{key} started"
    )


@when('the {kind} "{key:Word}" is sent to "{target:Word}" until it is recorded')
def send_until_recorded(context, kind, key, target):
    """Send an order again while the answer states that it did not run."""

    def is_recorded() -> bool:
        context.order = send_order_to(context, kind, key, target)
        return context.order.outcome.ran != "no"

    context.system.http.wait_until(is_recorded, f"{key} recorded")


@then("every order ran once")
def check_all_ran_once(context):
    """Check that each order ran exactly once, from the counts of the services."""
    runs = context.system.count_order_runs()
    wrong_counts = {
        order.key: runs[order.key] for order in context.system.orders if runs[order.key] != 1
    }
    assert not wrong_counts, wrong_counts
