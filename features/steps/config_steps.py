"""Steps that change the configuration through the operator interface of the nodes."""

import itertools
import time

from behave import given, then, when

PROPAGATION_TIMEOUT_S = 8.0
queue_limits = itertools.count(300)


@given("the site settings")
def set_site(context):
    """Set keys of the site section from a table with the columns key and value."""
    context.deployment.site_keys.update((row["key"], row["value"]) for row in context.table)


def apply_one(context, name):
    """Apply the current settings of the deployment at a node, based on its revision."""
    nodes = context.nodes
    change = nodes.propose(name, nodes.revision(name), next(queue_limits))
    context.changes = [change]
    context.answers = nodes.apply([name], [change])
    context.applied_at_s = time.monotonic()


@when('a change is applied at "{name:Word}"')
def apply_change(context, name):
    """Apply a change that only sets ``queue_limit``."""
    apply_one(context, name)


@when('version "{version:Word}" of model "{model:Word}" is applied at "{name:Word}"')
def apply_version(context, version, model, name):
    """Apply another version of a model and check that the change is accepted."""
    context.deployment.versions[model] = version
    apply_one(context, name)
    check_accepted(context)


@when('version "{version:Word}" of model "{model:Word}" is applied at a node that is not paused')
def apply_version_anywhere(context, version, model):
    """Apply another version of a model at the first running node that is not paused."""
    unpaused = [node.name for node in context.nodes.running() if not node.is_frozen]
    apply_version(context, version, model, unpaused[0])


@when('two operators apply changes at "{first:Word}" and "{second:Word}" at the same time')
def apply_concurrently(context, first, second):
    """Apply a change at each of two nodes in parallel, based on the same revision."""
    nodes = context.nodes
    revision = max(nodes.revision(first), nodes.revision(second))
    context.system.http.wait_until(
        lambda: nodes.revision(first) == nodes.revision(second), "the same revision at both nodes"
    )
    context.changes = [nodes.propose(n, revision, next(queue_limits)) for n in (first, second)]
    context.answers = nodes.apply([first, second], context.changes)
    context.applied_at_s = time.monotonic()


@when('the operator at "{name:Word}" asks again')
def ask_again(context, name):
    """Apply the first change again with the same id, as after a lost answer."""
    context.answers = context.nodes.apply([name], context.changes[:1])
    context.applied_at_s = time.monotonic()


@then("the change is accepted")
def check_accepted(context):
    """Check that the node has confirmed the change."""
    answer = context.answers[0]
    assert answer is not None and answer.status == 200, answer


@then("the change is refused and not in force")
def check_refused(context):
    """Check that the node reports that the change did not take effect."""
    answer = context.answers[0]
    assert answer is not None and answer.status == 503, answer
    assert answer.json()["ran"] == "no", answer


@then("one change is accepted and the other gets the difference")
def check_race(context):
    """Check that only one of the conditional writes succeeded."""
    statuses = sorted(answer.status for answer in context.answers)
    assert statuses == [200, 409], context.answers
    conflict = next(answer.json() for answer in context.answers if answer.status == 409)
    changed = [difference["key"] for difference in conflict["differences"]]
    assert "queue_limit" in changed, conflict


@then("the last accepted change is in force at every node within 8 s")
def check_in_force(context):
    """Wait until the status of every node that is not paused has the last accepted revision."""
    last = context.nodes.revisions.last_accepted()
    assert last, "no change was accepted"
    behind = {}
    while True:
        unpaused = [node.name for node in context.nodes.running() if not node.is_frozen]
        behind = {n: r for n in unpaused if (r := context.nodes.revision(n)) < last}
        if not behind:
            return
        assert time.monotonic() - context.applied_at_s <= PROPAGATION_TIMEOUT_S, (behind, last)
        time.sleep(0.1)
