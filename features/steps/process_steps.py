"""Steps that kill, freeze, resume and stop processes by their process id."""

from behave import then, when


@when('"{name:Word}" is killed')
def kill_process(context, name):
    """SIGKILL."""
    context.system.kill(name)


@when('"{name:Word}" is started again')
def restart_process(context, name):
    """A new process at the same address, without the old one's memory."""
    context.system.restart(name)


@when('"{name:Word}" is paused')
def freeze_process(context, name):
    """SIGSTOP: the process keeps its memory and its connections."""
    context.system.find(name).freeze()


@when('"{name:Word}" goes on')
def resume_process(context, name):
    """SIGCONT."""
    context.system.find(name).resume()


@then('"{name:Word}" stops without cutting off a request')
def stop_process(context, name):
    """SIGTERM, while requests may be in flight."""
    code = context.system.find(name).stop()
    assert code == 0, f"exit code {code}"
