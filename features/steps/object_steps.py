"""Steps that use the platform's object API and host list as a node does."""

from behave import then, when
from result import Err, Ok

from eelgrassferry.objects import HostList, HttpObjectStore, Unavailable, put_and_resolve


def open_store(context, domain="d1") -> HttpObjectStore:
    """Return a client of the object API for a caller of a domain."""
    return HttpObjectStore(context.system.calls.client, context.system.address("platform"), domain)


def wait_for(context, work):
    """Return the result of a coroutine."""
    return context.system.calls.start(work).result(30)


@when('"{value:Word}" is written to the new object "{key:Word}"')
def write_new(context, value, key):
    """A conditional write that is not resolved: the caller sees what the API answers."""
    context.written = wait_for(context, open_store(context).put(key, value.encode(), 0))


@when('"{value:Word}" is written to the new object "{key:Word}" and a lost answer is resolved')
def write_settled(context, value, key):
    """A conditional write that reads back to see whether it took effect."""
    data = value.encode()
    work = put_and_resolve(open_store(context), key, data, 0, lambda held: held == data)
    context.written = wait_for(context, work)


@when('a caller in domain "{domain:Word}" reads the object "{key:Word}"')
def read_object(context, domain, key):
    """Keeps the outcome for the next step."""
    context.read = wait_for(context, open_store(context, domain).get(key))


@when('host "{host:Word}" of kind "{kind:Word}" in domain "{domain:Word}" is registered as {state}')
def register_host(context, host, kind, domain, state):
    """The platform's own change of its host list."""
    entry = {"address": "127.0.0.1:1", "kind": kind, "domain": domain, "state": state}
    address = context.system.address("platform")
    assert context.system.calls.send(address, "PUT", f"/hosts/{host}", entry).is_ok()


@then("the write succeeds")
def check_written(context):
    """The caller knows that its write took effect."""
    assert isinstance(context.written, Ok), context.written


@then("the caller cannot know whether the write took effect")
def check_uncertain(context):
    """The connection was lost after the write was sent."""
    match context.written:
        case Err(Unavailable(uncertain=True)):
            return
    raise AssertionError(context.written)


@then("the write is refused and did not take effect")
def check_not_written(context):
    """The API is down, and says so."""
    match context.written:
        case Err(Unavailable(uncertain=False)):
            return
    raise AssertionError(context.written)


@then('object "{key:Word}" holds "{value:Word}"')
def check_object(context, key, value):
    """By a read of the object."""
    held = wait_for(context, open_store(context).get(key)).unwrap()
    assert held is not None and held.value == value.encode(), held


@then('object "{key:Word}" does not exist')
def check_no_object(context, key):
    """By a read of the object."""
    assert wait_for(context, open_store(context).get(key)).unwrap() is None


@then("the read fails")
def check_read_failed(context):
    """The caller is cut off, or the API is down."""
    assert isinstance(context.read, Err), context.read


@then('the read returns "{value:Word}"')
def check_read(context, value):
    """The caller got the object."""
    assert context.read.unwrap().value == value.encode(), context.read


def list_hosts(context) -> dict[str, str]:
    """Return the state of each host in the list."""
    calls, address = context.system.calls, context.system.address("platform")
    hosts = wait_for(context, HostList(calls.client, address, "d1").read()).unwrap()
    return {host.id: host.state.value for host in hosts}


@then("the host list is empty")
def check_no_hosts(context):
    """Now, without waiting."""
    assert list_hosts(context) == {}, list_hosts(context)


@then('the host list comes to show "{host:Word}" as {state}')
def check_host(context, host, state):
    """Wait for the list to catch up."""
    context.system.calls.wait_until(
        lambda: list_hosts(context).get(host) == state, f"{host} {state} in the host list"
    )
