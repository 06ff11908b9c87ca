"""Steps that send completions and check their answers."""

import time
from dataclasses import replace

from behave import then, when


@when('{count:d} request for model "{model:Word}" is sent to "{target:Word}"')
@when('{count:d} requests for model "{model:Word}" are sent to "{target:Word}"')
def send_whole(context, count, model, target):
    """Answers come whole."""
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
    """Answers come token by token."""
    context.system.send_requests(count, target, model, max_tokens=tokens, stream=True)


@when('a request for model "{model:Word}" that contains "{marker:Word}" is sent to "{target:Word}"')
def send_marked(context, model, marker, target):
    """A request that crashes an engine with this crash marker."""
    context.system.send_requests(1, target, model, marker=marker)


@when('"{name:Word}" has started {count:d} request')
@when('"{name:Word}" has started {count:d} requests')
def wait_started(context, name, count):
    """Wait until an engine has started this many requests, whether they still run or not."""
    system = context.system

    def has_started() -> bool:
        return system.calls.read(system.address(name), "/counts").get("requests", 0) >= count

    system.calls.wait_until(has_started, f"{count} requests started on {name}")


@when("the engines have started {count:d} requests")
def wait_all_started(context, count):
    """Wait until all engines together have started this many requests."""
    system = context.system

    def has_started() -> bool:
        return sum(system.count_starts().values()) >= count

    system.calls.wait_until(has_started, f"{count} requests started")


@when('the broken streams are resumed at "{target:Word}"')
def resume_broken(context, target):
    """Ask for the rest of each broken stream, in the same version of its model."""
    system = context.system
    broken = [call for call in system.requests if call.stream and not call.outcome.complete]
    assert broken, "no stream is broken"
    for call in broken:
        seen = call.outcome
        resume = (seen.version or "1", len(seen.tokens))
        system.send_request(replace(call, target=system.find(target), resume=resume))


@when('the last request is sent again to "{target:Word}"')
def send_again(context, target):
    """The same prompt, as a caller does that got no answer."""
    last = context.system.requests[-1]
    _ = last.outcome
    context.system.send_request(replace(last, target=context.system.find(target)))


@when('the last request is sent {count:d} times at once to "{targets:Word}"')
def send_again_at_once(context, count, targets):
    """So often to each of several nodes, and wait for all answers."""
    system = context.system
    last = system.requests[-1]
    _ = last.outcome
    names = [name.strip() for name in targets.split(",")]
    sent = [system.send_request(replace(last, target=system.find(n))) for n in names * count]
    for call in sent:
        _ = call.outcome


@when('requests for model "{model:Word}" are sent to "{targets:Word}" for {seconds:g} s')
def send_for(context, model, targets, seconds):
    """A steady load of single requests; each node gets about 10 a second."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for name in targets.split(","):
            context.system.send_requests(1, name.strip(), model)
        time.sleep(0.1)


@then("every request without a crash marker is answered in full")
def check_others_answered(context):
    """Those that ran beside a crashing request too."""
    calls = [call for call in context.system.requests if not call.crashes]
    faults = [f"{call.prompt}: {wrong}" for call in calls if (wrong := call.judge())]
    assert calls and not faults, faults


@then("at most {count:d} engines have crashed")
def check_crashed_at_most(context, count):
    """By the engines' own counts, each crash counted."""
    system = context.system
    crashes = {e.name: system.read_counts(e)["crashes"] for e in system.all_of_kind("engine")}
    assert 1 <= sum(crashes.values()) <= count, crashes


@then("every request is answered in full")
def check_all_answered(context):
    """All tokens, each once and in order, of the request's own prompt."""
    faults = [
        f"{call.prompt}: {wrong}" for call in context.system.requests if (wrong := call.judge())
    ]
    assert context.system.requests and not faults, faults


@then("the last {count:d} requests are answered in full")
def check_last_answered(context, count):
    """As above, for the requests sent last."""
    faults = [wrong for call in context.system.requests[-count:] if (wrong := call.judge())]
    assert not faults, faults


@then("{count:d} stream breaks after {tokens:d} tokens")
@then("{count:d} streams break after {tokens:d} tokens")
def check_broken(context, count, tokens):
    """So many streams end early, each with this many right tokens."""
    broken = [c.outcome for c in context.system.requests if c.stream and not c.outcome.complete]
    assert [len(seen.tokens) for seen in broken] == [tokens] * count, broken


@then('{count:d} request is refused with "{reason:Word}" and did not run')
@then('{count:d} requests are refused with "{reason:Word}" and did not run')
def check_refused(context, count, reason):
    """The refusals' word is checked against the engines' counts after the scenario."""
    seen = [call.outcome for call in context.system.requests]
    refused = [outcome for outcome in seen if outcome.reason == reason and outcome.ran == "no"]
    assert len(refused) == count, seen


@then("no request gets an answer")
def check_unanswered(context):
    """All connections broke before an answer was complete."""
    answered = [c.prompt for c in context.system.requests if c.outcome.complete]
    assert not answered, answered
