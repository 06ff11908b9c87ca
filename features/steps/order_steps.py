"""Steps that send orders (bookings, print orders) and check how often they ran."""

from behave import then, when

PATHS = {"booking": "/bookings", "print order": "/print-orders"}


@when('the {kind} "{key:Word}" is sent to "{target:Word}"')
def send_order(context, kind, key, target):
    """An order of one kind; the key is its Idempotency-Key."""
    context.order = context.system.send_order(target, PATHS[kind], key)


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
