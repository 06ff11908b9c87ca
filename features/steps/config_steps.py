"""Steps that change the configuration through the operators' listeners."""

import itertools
import time

from behave import given, then, when

IN_FORCE_S = 8.0
markers = itertools.count(300)


@given("the site settings")
def set_site(context):
    """A table with the columns key and value."""
    context.deployment.site_keys.update((row["key"], row["value"]) for row in context.table)


def apply_one(context, name):
    """Apply the deployment as it is now at one node, based on the node's revision."""
    nodes = context.nodes
    change = nodes.propose(name, nodes.revision(name), next(markers))
    context.changes = [change]
    context.answers = nodes.apply([name], [change])
    context.applied_at_s = time.monotonic()


@when('a change is applied at "{name:Word}"')
def apply_change(context, name):
    """A harmless change of a limit."""
    apply_one(context, name)


@when('version "{version:Word}" of model "{model:Word}" is applied at "{name:Word}"')
def apply_version(context, version, model, name):
    """The operator wants another version of a model."""
    context.deployment.versions[model] = version
    apply_one(context, name)
    check_accepted(context)


@when('version "{version:Word}" of model "{model:Word}" is applied at a node that is not paused')
def apply_version_awake(context, version, model):
    """At any node that answers."""
    awake = [node.name for node in context.nodes.live() if not node.is_frozen]
    apply_version(context, version, model, awake[0])


@when('two operators apply changes at "{first:Word}" and "{second:Word}" at the same time')
def race(context, first, second):
    """Both changes are based on the revision that both nodes have in force."""
    nodes = context.nodes
    revision = max(nodes.revision(first), nodes.revision(second))
    context.system.calls.wait_until(
        lambda: nodes.revision(first) == nodes.revision(second), "the same revision at both nodes"
    )
    context.changes = [nodes.propose(n, revision, next(markers)) for n in (first, second)]
    context.answers = nodes.apply([first, second], context.changes)
    context.applied_at_s = time.monotonic()


@when('the operator at "{name:Word}" asks again')
def ask_again(context, name):
    """With the same change id, as an operator does that got no answer."""
    context.answers = context.nodes.apply([name], context.changes[:1])
    context.applied_at_s = time.monotonic()


@then("the change is accepted")
def check_accepted(context):
    """The node confirmed it."""
    answer = context.answers[0]
    assert answer is not None and answer.status == 200, answer


@then("the change is refused and not in force")
def check_refused(context):
    """The node says that it did not take effect."""
    answer = context.answers[0]
    assert answer is not None and answer.status == 503, answer
    assert answer.json()["ran"] == "no", answer


@then("one change is accepted and the other gets the difference")
def check_race(context):
    """One conditional write wins."""
    statuses = sorted(answer.status for answer in context.answers)
    assert statuses == [200, 409], context.answers
    lost = next(answer.json() for answer in context.answers if answer.status == 409)
    changed = [difference["key"] for difference in lost["differences"]]
    assert "queue_limit" in changed, lost


@then("the last accepted change is in force at every node within 8 s")
def check_in_force(context):
    """By the operators' status of every node that is not paused."""
    last = context.nodes.revisions.last_accepted()
    assert last, "no change was accepted"
    behind = {}
    while True:
        awake = [node.name for node in context.nodes.live() if not node.is_frozen]
        behind = {n: r for n in awake if (r := context.nodes.revision(n)) < last}
        if not behind:
            return
        assert time.monotonic() - context.applied_at_s <= IN_FORCE_S, (behind, last)
        time.sleep(0.1)
