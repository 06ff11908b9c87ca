"""Steps that kill, suspend, resume, stop and restart processes."""

from behave import then, when


@when('"{name:Word}" is killed')
def kill_process(context, name):
    """Kill a process with SIGKILL."""
    context.system.kill(name)


@when('"{name:Word}" is started again')
def restart_process(context, name):
    """Start a new process at the address of an ended one, without its state."""
    context.system.restart(name)


@when('"{name:Word}" is paused')
def freeze_process(context, name):
    """Suspend a process with SIGSTOP; it keeps its memory and its connections."""
    context.system.find(name).freeze()


@when('"{name:Word}" goes on')
def resume_process(context, name):
    """Resume a process with SIGCONT."""
    context.system.find(name).resume()


@then('"{name:Word}" stops without cutting off a request')
def stop_process(context, name):
    """Stop a process with SIGTERM, with requests possibly in flight, and check its exit code."""
    exit_code = context.system.find(name).stop()
    assert exit_code == 0, f"exit code {exit_code}"
