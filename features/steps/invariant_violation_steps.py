"""Steps that violate an invariant on purpose, to show that its check detects the violation."""

import dataclasses
from concurrent.futures import Future

from behave import given, then, when
from harness import AcceptedChange, OrderCall, check_invariants


def replace_outcome(call, outcome):
    """Return a copy of a request with another outcome, as from a faulty node."""
    fut: Future = Future()
    fut.set_result(outcome)
    return dataclasses.replace(call, future=fut)


@given('a service "{name:Word}" that runs orders and says that it did not')
def start_service_denying_orders(context, name):
    """Start a stand-in and replace each of its confirmations by a refusal with ``ran`` "no"."""
    context.system.start_standin("service", name, name=name)
    send = context.system.send_order

    def send_and_deny(target, path, key):
        order = send(target, path, key)
        refusal = dataclasses.replace(order.outcome, status=503, reason="refused", ran="no")
        fut: Future = Future()
        fut.set_result(refusal)
        context.system.orders[-1] = OrderCall(order.target, path, key, fut)
        return order

    context.system.send_order = send_and_deny


@when('"{name:Word}" is taken for a node')
def treat_as_node(context, name):
    """Treat an engine as a node in the checks, so that its faults count as faults of a node."""
    process = context.system.find(name)
    _ = [call.outcome for call in context.system.requests]
    context.treated_as_nodes = [*getattr(context, "treated_as_nodes", []), process]


@when('2 requests for model "{model:Word}" are sent to "{name:Word}" and their answers are crossed')
def swap_answers(context, model, name):
    """Send two requests and swap their outcomes."""
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
def report_not_run(context, model, name):
    """Let an engine run a request and replace its outcome by a refusal with ``ran`` "no"."""
    system = context.system
    system.send_requests(1, name, model)
    outcome = system.requests[-1].outcome
    refusal = dataclasses.replace(outcome, status=503, reason="refused", ran="no")
    system.requests[-1] = replace_outcome(system.requests[-1], refusal)


@when('node "{name:Word}" is seen with the revisions "{revisions:Word}"')
def record_revisions(context, name, revisions):
    """Record revisions, in this order, as in force at a node."""
    for revision in revisions.split(","):
        context.nodes.revisions.record(name, int(revision), f"change-{revision.strip()}")


@when('change "{change_id:Word}" is accepted as revision {revision:d}')
def accept_change(context, change_id, revision):
    """Record a change as confirmed to an operator."""
    context.nodes.revisions.record_accepted(AcceptedChange(revision, change_id))


@when('node "{name:Word}" ends with revision {revision:d}')
def set_final_revision(context, name, revision):
    """Set the revision that a node has in force at the end of the scenario."""
    context.in_force = {name: revision}


@then('the checks report "{text:Word}"')
def check_reported(context, text):
    """Run the checks as after each scenario, and expect all faults that they report.

    The checks after the scenario ignore the expected faults.
    """
    system, nodes = context.system, context.nodes
    for call in (*system.requests, *system.orders):
        _ = call.outcome
    for process in getattr(context, "treated_as_nodes", []):
        _ = system.read_counts(process)
    faults = check_with_substitutes(context)
    faults += [*nodes.revisions.check(), *nodes.revisions.check_final(get_final_revisions(context))]
    assert any(text in fault for fault in faults), faults
    context.expected_faults = tuple(faults)


def get_final_revisions(context):
    """Return the final revisions that the scenario has set, by node."""
    return getattr(context, "in_force", {})


def check_with_substitutes(context):
    """Check the invariants with some engines treated as nodes, and return the faults."""
    system = context.system
    substitutes = {process.name: process for process in getattr(context, "treated_as_nodes", [])}
    requests = list(system.requests)
    system.requests[:] = [
        (
            dataclasses.replace(call, target=NodeSubstitute(call.target))
            if call.target.name in substitutes
            else call
        )
        for call in requests
    ]
    try:
        return check_invariants(system)
    finally:
        system.requests[:] = requests


class NodeSubstitute:
    """A process that the checks treat as a node."""

    kind = "node"

    def __init__(self, process) -> None:
        self.name = process.name
        self.was_killed = process.was_killed
