"""Steps that describe the deployment and check its settings."""

import subprocess
import sys

from behave import given, then


@given("the models")
def set_models(context):
    """Set the models from a table with the columns model, MiB and, optionally, copies."""
    for row in context.table:
        context.deployment.models[row["model"]] = int(row["MiB"])
        if "copies" in context.table.headings:
            context.deployment.replicas[row["model"]] = int(row["copies"])


@given("the adapters")
def set_adapters(context):
    """Set the adapters from a table with the columns adapter, base and MiB."""
    for row in context.table:
        context.deployment.adapters[row["adapter"]] = (row["base"], int(row["MiB"]))


@given('"{name:Word}" is in domain "{domain:Word}"')
def set_domain(context, name, domain):
    """Set the failure domain of an upstream; the default is d1."""
    context.system.find(name).domain = domain


@then('the deployment with a node in domain "{domain:Word}" passes the check')
def check_deployment(context, domain):
    """Run the command ``check`` on the settings files and expect it to succeed."""
    deployment = context.deployment
    node = deployment.write_node("check", domain)
    files = (str(deployment.base_file), str(deployment.overlay_file))
    command = [sys.executable, "-m", "eelgrassferry", "check", *files, "--settings", str(node)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert completed.returncode == 0, completed.stdout + completed.stderr
