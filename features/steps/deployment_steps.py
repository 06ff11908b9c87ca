"""Steps that describe the deployment, and start nodes in it."""

import subprocess
import sys

from behave import given, then


@given("the models")
def set_models(context):
    """A table with the columns model and MiB, and copies where a model needs more than one."""
    for row in context.table:
        context.deployment.models[row["model"]] = int(row["MiB"])
        if "copies" in context.table.headings:
            context.deployment.replicas[row["model"]] = int(row["copies"])


@given("the adapters")
def set_adapters(context):
    """A table with the columns adapter, base and MiB."""
    for row in context.table:
        context.deployment.adapters[row["adapter"]] = (row["base"], int(row["MiB"]))


@given('"{name:Word}" is in domain "{domain:Word}"')
def set_domain(context, name, domain):
    """The failure domain of an upstream; d1 where the scenario names none."""
    context.system.find(name).domain = domain


@then('the deployment with a node in domain "{domain:Word}" passes the check')
def check_deployment(context, domain):
    """By the operators' command."""
    deployment = context.deployment
    node = deployment.write_node("check", domain)
    files = (str(deployment.base_file), str(deployment.overlay_file))
    command = [sys.executable, "-m", "eelgrassferry", "check", *files, "--settings", str(node)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
