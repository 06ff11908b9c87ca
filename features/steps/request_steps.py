"""Steps that send completion requests and check their answers."""

import time
from dataclasses import replace

from behave import then, when


@when('{count:d} request for model "{model:Word}" is sent to "{target:Word}"')
@when('{count:d} requests for model "{model:Word}" are sent to "{target:Word}"')
def send_unstreamed(context, count, model, target):
    """Send requests whose answers are not streamed."""
    context.system.send_requests(count, target, model)


@when(
    '{count:d} streamed request of {tokens:d} tokens for model "{model:Word}"'
    ' is sent to "{target:Word}"'
)
@when(
    '{count:d} streamed requests of {tokens:d} tokens for model "{model:Word}"'
    ' are sent to "{target:Word}"'
)
def send_streamed(context, count, tokens, model, target):
    """Send requests whose answers are streamed token by token."""
    context.system.send_requests(count, target, model, max_tokens=tokens, stream=True)


@when('a request for model "{model:Word}" that contains "{marker:Word}" is sent to "{target:Word}"')
def send_with_crash_marker(context, model, marker, target):
    """Send a request that crashes engines with this crash marker."""
    context.system.send_requests(1, target, model, marker=marker)


@when('"{name:Word}" has started {count:d} request')
@when('"{name:Word}" has started {count:d} requests')
def wait_started(context, name, count):
    """Wait until an engine has started this many requests, including finished ones."""
    system = context.system

    def has_started() -> bool:
        return system.http.read_json(system.address(name), "/counts").get("requests", 0) >= count

    system.http.wait_until(has_started, f"{count} requests started on {name}")


@when("the engines have started {count:d} requests")
def wait_all_started(context, count):
    """Wait until all engines together have started this many requests."""
    system = context.system

    def has_started() -> bool:
        return sum(system.count_request_starts().values()) >= count

    system.http.wait_until(has_started, f"{count} requests started")


@when('the broken streams are resumed at "{target:Word}"')
def resume_broken(context, target):
    """Request the rest of each broken stream from the same version of its model."""
    system = context.system
    broken = [call for call in system.requests if call.stream and not call.outcome.complete]
    assert broken, "no stream is broken"
    for call in broken:
        outcome = call.outcome
        resume = (outcome.version or "1", len(outcome.tokens))
        system.send_request(replace(call, target=system.find(target), resume=resume))


@when('the last request is sent again to "{target:Word}"')
def send_again(context, target):
    """Send the last request again with the same prompt, as after a lost answer."""
    last = context.system.requests[-1]
    _ = last.outcome
    context.system.send_request(replace(last, target=context.system.find(target)))


@when('the last request is sent {count:d} times at once to "{targets:Word}"')
def send_again_at_once(context, count, targets):
    """Send the last request ``count`` times to each target in parallel; wait for all answers."""
    system = context.system
    last = system.requests[-1]
    _ = last.outcome
    names = [name.strip() for name in targets.split(",")]
    sent = [system.send_request(replace(last, target=system.find(n))) for n in names * count]
    for call in sent:
        _ = call.outcome


@when('requests for model "{model:Word}" are sent to "{targets:Word}" for {seconds:g} s')
def send_for(context, model, targets, seconds):
    """Send a steady load of about 10 requests per second to each target."""
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        for name in targets.split(","):
            context.system.send_requests(1, name.strip(), model)
        time.sleep(0.1)


@then("every request without a crash marker is answered in full")
def check_others_answered(context):
    """Check the answers, also of requests that ran at the same time as a crashing one."""
    calls = [call for call in context.system.requests if not call.crashes]
    faults = [f"{call.prompt}: {fault}" for call in calls if (fault := call.describe_fault())]
    assert calls and not faults, faults


@then("at most {count:d} engines have crashed")
def check_crashed_at_most(context, count):
    """Check the total of crashes, from the counts of all engines; at least one has crashed."""
    system = context.system
    crashes = {e.name: system.read_counts(e)["crashes"] for e in system.all_of_kind("engine")}
    assert 1 <= sum(crashes.values()) <= count, crashes


@then("every request is answered in full")
def check_all_answered(context):
    """Check that each answer has all tokens for its prompt, each once and in order."""
    faults = [
        f"{call.prompt}: {fault}"
        for call in context.system.requests
        if (fault := call.describe_fault())
    ]
    assert context.system.requests and not faults, faults


@then("the last {count:d} requests are answered in full")
def check_last_answered(context, count):
    """Check that the answers to the requests sent last are complete and correct."""
    faults = [
        fault for call in context.system.requests[-count:] if (fault := call.describe_fault())
    ]
    assert not faults, faults


@then("{count:d} stream breaks after {tokens:d} tokens")
@then("{count:d} streams break after {tokens:d} tokens")
def check_broken(context, count, tokens):
    """Check that this many streams ended early, each after this many tokens."""
    broken = [c.outcome for c in context.system.requests if c.stream and not c.outcome.complete]
    assert [len(outcome.tokens) for outcome in broken] == [tokens] * count, broken


@then('{count:d} request is refused with "{reason:Word}" and did not run')
@then('{count:d} requests are refused with "{reason:Word}" and did not run')
def check_refused(context, count, reason):
    """Check the number of refusals with this reason.

    Whether the requests did not run is checked after the scenario, from the counts of the engines.
    """
    outcomes = [call.outcome for call in context.system.requests]
    refused = [outcome for outcome in outcomes if outcome.reason == reason and outcome.ran == "no"]
    assert len(refused) == count, outcomes


@then("no request gets an answer")
def check_unanswered(context):
    """Check that no request received a complete answer."""
    answered = [c.prompt for c in context.system.requests if c.outcome.complete]
    assert not answered, answered
