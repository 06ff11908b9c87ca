"""Steps that break an invariant on purpose, to show that its check can fail."""

import dataclasses
from concurrent.futures import Future

from behave import given, then, when
from harness import Accepted, OrderCall, check_invariants


def replace_outcome(call, outcome):
    """Return a request with another outcome, as a broken node would have given it."""
    fut: Future = Future()
    fut.set_result(outcome)
    return dataclasses.replace(call, future=fut)


@given('a service "{name:Word}" that runs orders and says that it did not')
def start_liar(context, name):
    """A stand-in whose confirmations are turned into refusals on their way to the caller."""
    context.system.start_standin("service", name, name=name)
    send = context.system.send_order

    def send_and_lie(target, path, key):
        order = send(target, path, key)
        lie = dataclasses.replace(order.outcome, status=503, reason="refused", ran="no")
        fut: Future = Future()
        fut.set_result(lie)
        context.system.orders[-1] = OrderCall(order.target, path, key, fut)
        return order

    context.system.send_order = send_and_lie


@when('"{name:Word}" is taken for a node')
def take_for_node(context, name):
    """Its faults then count as faults of a node, which hides those of engines."""
    process = context.system.find(name)
    _ = [call.outcome for call in context.system.requests]
    context.taken = [*getattr(context, "taken", []), process]


@when('2 requests for model "{model:Word}" are sent to "{name:Word}" and their answers are crossed')
def cross_answers(context, model, name):
    """Each caller gets the other's answer."""
    system = context.system
    system.send_requests(2, name, model)
    first, second = system.requests
    system.requests[:] = [
        replace_outcome(first, second.outcome),
        replace_outcome(second, first.outcome),
    ]


@when(
    '1 request for model "{model:Word}" is sent to "{name:Word}"'
    " and its answer says that it did not run"
)
def deny_run(context, model, name):
    """The engine ran it, and its caller got a refusal."""
    system = context.system
    system.send_requests(1, name, model)
    seen = system.requests[-1].outcome
    lie = dataclasses.replace(seen, status=503, reason="refused", ran="no")
    system.requests[-1] = replace_outcome(system.requests[-1], lie)


@when('node "{name:Word}" is seen with the revisions "{revisions:Word}"')
def see_revisions(context, name, revisions):
    """One after the other."""
    for revision in revisions.split(","):
        context.nodes.revisions.note(name, int(revision), f"change-{revision.strip()}")


@when('change "{change_id:Word}" is accepted as revision {revision:d}')
def accept_change(context, change_id, revision):
    """As a node tells an operator."""
    context.nodes.revisions.accept(Accepted(revision, change_id))


@when('node "{name:Word}" ends with revision {revision:d}')
def end_with(context, name, revision):
    """As its status says at the end of a scenario."""
    context.in_force = {name: revision}


@then('the checks report "{text:Word}"')
def check_reported(context, text):
    """Run the checks as after each scenario. The reported faults are expected and then dropped."""
    system, nodes = context.system, context.nodes
    for call in (*system.requests, *system.orders):
        _ = call.outcome
    for process in getattr(context, "taken", []):
        _ = system.read_counts(process)
    faults = check_as_nodes(context)
    faults += [*nodes.revisions.check(), *nodes.revisions.check_final(read_in_force(context))]
    assert any(text in fault for fault in faults), faults
    context.expected_faults = tuple(faults)


def read_in_force(context):
    """Return the revisions that the scenario says are in force."""
    return getattr(context, "in_force", {})


def check_as_nodes(context):
    """Return the faults found while some engines count as nodes on the callers' side."""
    system = context.system
    taken = {process.name: process for process in getattr(context, "taken", [])}
    kept = list(system.requests)
    system.requests[:] = [
        (
            dataclasses.replace(call, target=StandingForNode(call.target))
            if call.target.name in taken
            else call
        )
        for call in kept
    ]
    try:
        return check_invariants(system)
    finally:
        system.requests[:] = kept


class StandingForNode:
    """A process that the checks take for a node."""

    kind = "node"

    def __init__(self, process) -> None:
        self.name = process.name
        self.broke = process.broke
