"""Steps that start nodes and wait until their view of the site reaches a state."""

from behave import given, then, when

# A version change takes a load, a probe and an unload. After a lost order, each of them also waits
# for the transit time. On a busy machine this took 10 s.
VERSION_CHANGE_TIMEOUT_S = 30.0


def split_names(names: str) -> list[str]:
    """Return the names in a comma-separated list."""
    return [name.strip() for name in names.split(",")]


@given("the lease lasts {seconds:d} s")
def set_lease(context, seconds):
    """Set a lease shorter than the default, so that it expires within the scenario."""
    context.deployment.site_keys["lease"] = f"{seconds} s"


@given('the nodes "{names:Word}" in domains "{domains:Word}"')
@when('the nodes "{names:Word}" in domains "{domains:Word}" start')
def start_nodes(context, names, domains):
    """Start nodes in parallel, each in its domain, and wait until they list each other as live."""
    context.nodes.start(dict(zip(split_names(names), split_names(domains), strict=True)))
    wait_for_membership(context)


def wait_for_membership(context):
    """Wait until each running node lists all running nodes as live."""
    expected = {node.name for node in context.nodes.running()}

    def is_complete() -> bool:
        return all(
            expected
            <= {name, *(n["name"] for n in context.nodes.status(name)["nodes"] if is_live(n))}
            for name in expected
        )

    try:
        context.system.http.wait_until(is_complete, f"{sorted(expected)} know each other")
    except AssertionError:
        print([context.nodes.status(name) for name in expected])
        print(context.system.http.read_json(context.system.address("platform"), "/hosts"))
        raise


def is_live(node) -> bool:
    """Return whether the entry of a node in a status has the state live."""
    return node["state"] == "live"


@when('the node "{name:Word}" in domain "{domain:Word}" starts')
def start_node(context, name, domain):
    """Start a node without waiting until its peers list it as live."""
    context.nodes.start({name: domain})


@given('model "{model:Word}" is resident on {count:d} engine')
@given('model "{model:Word}" is resident on {count:d} engines')
@when('model "{model:Word}" is resident on {count:d} engine')
@when('model "{model:Word}" is resident on {count:d} engines')
def wait_resident(context, model, count):
    """Wait until every running node that is not paused reports this many live copies."""

    def is_reported() -> bool:
        return all(
            context.nodes.reports_copies(n.name, model, count) for n in unpaused_nodes(context)
        )

    context.system.http.wait_until(is_reported, f"{count} copies of {model}")


def unpaused_nodes(context):
    """Return the running nodes that are not paused."""
    return [node for node in context.nodes.running() if not node.is_frozen]


@given("a node holds the lease")
@when("a node holds the lease")
def wait_holder(context):
    """Wait until a node holds the lease, and store its name in the context."""
    context.system.http.wait_until(lambda: context.nodes.lease_holder() != "", "a lease holder")
    context.holder = context.nodes.lease_holder()


@when("another node takes the lease over")
def wait_other_holder(context):
    """Wait until the lease holder is another node than the stored one."""
    context.system.http.wait_until(
        lambda: context.nodes.lease_holder() not in ("", context.holder), "another lease holder"
    )


@when("the holder is paused")
def freeze_holder(context):
    """Suspend the stored lease holder with SIGSTOP."""
    context.system.find(context.holder).freeze()


@when("the paused holder goes on")
def resume_holder(context):
    """Resume the stored lease holder with SIGCONT."""
    context.system.find(context.holder).resume()


@when("the holder is killed")
def kill_holder(context):
    """Kill the stored lease holder with SIGKILL."""
    context.system.kill(context.holder)


@when('"{name:Word}" starts to leave')
def start_leaving(context, name):
    """Set an upstream to leaving, both in its own status and in the host list."""
    context.system.http.set_faults(context.system.address(name), leaving=True)
    context.nodes.set_host_state(name, "leaving")


@then('every node knows that "{name:Word}" is leaving')
def check_leaving_known(context, name):
    """Wait until the status of every node that is not paused lists an upstream as leaving."""

    def is_reported() -> bool:
        return all(
            any(
                up["name"] == name and up["state"] == "leaving"
                for up in context.nodes.status(node.name)["upstreams"]
            )
            for node in unpaused_nodes(context)
        )

    context.system.http.wait_until(is_reported, f"{name} leaving at every node")


@then('"{name:Word}" gets a copy of model "{model:Word}"')
def check_copy(context, name, model):
    """Wait until an engine has loaded a copy of a model."""
    context.system.http.wait_until(
        lambda: context.nodes.has_copy(name, model), f"{model} on {name}"
    )


@then('some engine gets version "{version:Word}" of model "{model:Word}" and none keeps another')
def check_version(context, version, model):
    """Wait until there is a copy of a model and all its copies have this version."""
    system = context.system

    def is_changed() -> bool:
        versions = [
            resident["version"]
            for engine in system.of_kind("engine")
            for resident in system.http.read_json(engine.address, "/admin/status")["residents"]
            if resident["name"] == model
        ]
        return bool(versions) and set(versions) == {version}

    try:
        system.http.wait_until(
            is_changed, f"only version {version} of {model}", VERSION_CHANGE_TIMEOUT_S
        )
    except AssertionError:
        for node in unpaused_nodes(context):
            print(f"{node.name}: {context.nodes.explain(node.name, model)}")
        raise


@when('the node "{name:Word}" knows {count:d} copy of model "{model:Word}"')
def wait_known(context, name, count, model):
    """Wait until a node reports this many live copies of a model."""
    context.system.http.wait_until(
        lambda: context.nodes.reports_copies(name, model, count), f"{model} known to {name}"
    )


@when('{count:d} requests for model "{model:Word}" are sent to a node that runs')
def send_to_live(context, count, model):
    """Send requests to the first running node that is not paused."""
    context.system.send_requests(count, unpaused_nodes(context)[0].name, model)


@when("an engine order is under way")
def wait_order(context):
    """Wait until an engine has a recorded reservation of a pending order."""
    context.system.http.wait_until(context.nodes.has_pending_order, "a pending engine order")
