"""Steps that use the object API and the host list of the platform in the way of a node."""

from behave import then, when
from result import Err, Ok

from eelgrassferry.objects import HostList, HttpObjectStore, Unavailable, put_and_resolve


def open_store(context, domain="d1") -> HttpObjectStore:
    """Return a client of the object API for a caller in a domain."""
    return HttpObjectStore(context.system.http.client, context.system.address("platform"), domain)


def run_coroutine(context, coroutine):
    """Run a coroutine on the event loop of the HTTP client and return its result."""
    return context.system.http.submit(coroutine).result(30)


@when('"{value:Word}" is written to the new object "{key:Word}"')
def write_new(context, value, key):
    """Write conditionally and store the answer of the API, also when it is uncertain."""
    context.written = run_coroutine(context, open_store(context).put(key, value.encode(), 0))


@when('"{value:Word}" is written to the new object "{key:Word}" and a lost answer is resolved')
def write_and_resolve(context, value, key):
    """Write conditionally; after a lost answer, read the object to see if the write took effect."""
    data = value.encode()
    coroutine = put_and_resolve(open_store(context), key, data, 0, lambda stored: stored == data)
    context.written = run_coroutine(context, coroutine)


@when('a caller in domain "{domain:Word}" reads the object "{key:Word}"')
def read_object(context, domain, key):
    """Read an object and store the result in the context."""
    context.read = run_coroutine(context, open_store(context, domain).get(key))


@when('host "{host:Word}" of kind "{kind:Word}" in domain "{domain:Word}" is registered as {state}')
def register_host(context, host, kind, domain, state):
    """Set the entry of a host in the host list."""
    entry = {"address": "127.0.0.1:1", "kind": kind, "domain": domain, "state": state}
    address = context.system.address("platform")
    assert context.system.http.send(address, "PUT", f"/hosts/{host}", entry).is_ok()


@then("the write succeeds")
def check_written(context):
    """Check that the result of the write is a success."""
    assert isinstance(context.written, Ok), context.written


@then("the caller cannot know whether the write took effect")
def check_uncertain(context):
    """Check that the outcome is uncertain: the connection was lost after the write was sent."""
    match context.written:
        case Err(Unavailable(uncertain=True)):
            return
    raise AssertionError(context.written)


@then("the write is refused and did not take effect")
def check_not_written(context):
    """Check that the API refused the write because it is unavailable."""
    match context.written:
        case Err(Unavailable(uncertain=False)):
            return
    raise AssertionError(context.written)


@then('object "{key:Word}" holds "{value:Word}"')
def check_object(context, key, value):
    """Read an object and compare its value."""
    stored = run_coroutine(context, open_store(context).get(key)).unwrap()
    assert stored is not None and stored.value == value.encode(), stored


@then('object "{key:Word}" does not exist')
def check_no_object(context, key):
    """Read an object and check that there is none."""
    assert run_coroutine(context, open_store(context).get(key)).unwrap() is None


@then("the read fails")
def check_read_failed(context):
    """Check that the read failed: the caller is isolated or the API is unavailable."""
    assert isinstance(context.read, Err), context.read


@then('the read returns "{value:Word}"')
def check_read(context, value):
    """Check the value of the object that was read."""
    assert context.read.unwrap().value == value.encode(), context.read


def list_hosts(context) -> dict[str, str]:
    """Return the state of each host in the host list, by host id."""
    http, address = context.system.http, context.system.address("platform")
    hosts = run_coroutine(context, HostList(http.client, address, "d1").read()).unwrap()
    return {host.id: host.state.value for host in hosts}


@then("the host list is empty")
def check_no_hosts(context):
    """Check the host list once, without waiting."""
    assert list_hosts(context) == {}, list_hosts(context)


@then('the host list comes to show "{host:Word}" as {state}')
def check_host(context, host, state):
    """Wait until the host list shows a host in this state."""
    context.system.http.wait_until(
        lambda: list_hosts(context).get(host) == state, f"{host} {state} in the host list"
    )
