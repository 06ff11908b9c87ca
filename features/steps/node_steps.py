"""Steps that start nodes and wait for what they know."""

from behave import given, then, when

# A version change takes a load, a probe and an unload, each after a transit time where an order
# was lost; 10 s were measured on a busy machine.
CHANGE_S = 30.0


def split(names: str) -> list[str]:
    """Return the names of a list separated by commas."""
    return [name.strip() for name in names.split(",")]


@given("the lease lasts {seconds:d} s")
def set_lease(context, seconds):
    """Shorter than the default, so that a scenario sees it lapse."""
    context.deployment.site_keys["lease"] = f"{seconds} s"


@given('the nodes "{names:Word}" in domains "{domains:Word}"')
@when('the nodes "{names:Word}" in domains "{domains:Word}" start')
def start_nodes(context, names, domains):
    """All at once, with one domain each, until they listen and know each other."""
    context.nodes.start(dict(zip(split(names), split(domains), strict=True)))
    wait_members(context)


def wait_members(context):
    """Wait until each running node sees all of them as live."""
    wanted = {node.name for node in context.nodes.live()}

    def know_each_other() -> bool:
        return all(
            wanted
            <= {name, *(n["name"] for n in context.nodes.status(name)["nodes"] if is_live(n))}
            for name in wanted
        )

    try:
        context.system.calls.wait_until(know_each_other, f"{sorted(wanted)} know each other")
    except AssertionError:
        print([context.nodes.status(name) for name in wanted])
        print(context.system.calls.read(context.system.address("platform"), "/hosts"))
        raise


def is_live(node) -> bool:
    """Return whether a status lists a node as taking part."""
    return node["state"] == "live"


@when('the node "{name:Word}" in domain "{domain:Word}" starts')
def start_node(context, name, domain):
    """Without waiting for its peers to see it."""
    context.nodes.start({name: domain})


@given('model "{model:Word}" is resident on {count:d} engine')
@given('model "{model:Word}" is resident on {count:d} engines')
@when('model "{model:Word}" is resident on {count:d} engine')
@when('model "{model:Word}" is resident on {count:d} engines')
def wait_resident(context, model, count):
    """Wait until every running node that is not paused knows that many live copies."""

    def is_known() -> bool:
        return all(context.nodes.knows_copies(n.name, model, count) for n in awake(context))

    context.system.calls.wait_until(is_known, f"{count} copies of {model}")


def awake(context):
    """Return the running nodes that are not paused."""
    return [node for node in context.nodes.live() if not node.is_frozen]


@given("a node holds the lease")
@when("a node holds the lease")
def wait_holder(context):
    """Wait for the first holder, and remember it as the holder."""
    context.system.calls.wait_until(lambda: context.nodes.holder() != "", "a lease holder")
    context.holder = context.nodes.holder()


@when("another node takes the lease over")
def wait_other_holder(context):
    """Wait for an other holder than the remembered one."""
    context.system.calls.wait_until(
        lambda: context.nodes.holder() not in ("", context.holder), "another lease holder"
    )


@when("the holder is paused")
def freeze_holder(context):
    """SIGSTOP."""
    context.system.find(context.holder).freeze()


@when("the paused holder goes on")
def resume_holder(context):
    """SIGCONT."""
    context.system.find(context.holder).resume()


@when("the holder is killed")
def kill_holder(context):
    """SIGKILL."""
    context.system.kill(context.holder)


@when('"{name:Word}" starts to leave')
def start_leaving(context, name):
    """The upstream's own status and the host list say so."""
    context.system.calls.set_faults(context.system.address(name), leaving=True)
    context.nodes.set_host_state(name, "leaving")


@then('every node knows that "{name:Word}" is leaving')
def check_leaving_known(context, name):
    """By the operators' status of each node."""

    def is_known() -> bool:
        return all(
            any(
                up["name"] == name and up["state"] == "leaving"
                for up in context.nodes.status(node.name)["upstreams"]
            )
            for node in awake(context)
        )

    context.system.calls.wait_until(is_known, f"{name} leaving at every node")


@then('"{name:Word}" gets a copy of model "{model:Word}"')
def check_copy(context, name, model):
    """Wait for the load."""
    context.system.calls.wait_until(lambda: context.nodes.holds(name, model), f"{model} on {name}")


@then('some engine gets version "{version:Word}" of model "{model:Word}" and none keeps another')
def check_version(context, version, model):
    """Wait until all copies are of this version."""
    system = context.system

    def is_changed() -> bool:
        held = [
            resident["version"]
            for engine in system.of_kind("engine")
            for resident in system.calls.read(engine.address, "/admin/status")["residents"]
            if resident["name"] == model
        ]
        return bool(held) and set(held) == {version}

    try:
        system.calls.wait_until(is_changed, f"only version {version} of {model}", CHANGE_S)
    except AssertionError:
        for node in awake(context):
            print(f"{node.name}: {context.nodes.explain(node.name, model)}")
        raise


@when('the node "{name:Word}" knows {count:d} copy of model "{model:Word}"')
def wait_known(context, name, count, model):
    """Wait for one node's own view."""
    context.system.calls.wait_until(
        lambda: context.nodes.knows_copies(name, model, count), f"{model} known to {name}"
    )


@when('{count:d} requests for model "{model:Word}" are sent to a node that runs')
def send_to_live(context, count, model):
    """To a node that was not killed."""
    context.system.send_requests(count, awake(context)[0].name, model)


@when("an engine order is under way")
def wait_order(context):
    """Wait until a reservation is recorded whose order has not settled."""
    context.system.calls.wait_until(context.nodes.has_open_order, "an open engine order")
