"""Steps that set the stand-ins' fault switches."""

import ast

from behave import then, when


def set_faults(context, name, **faults):
    """Set fault switches of a stand-in."""
    context.system.calls.set_faults(context.system.address(name), **faults)


@when('"{name:Word}" has the fault "{fault:Word}" set to {value}')
def set_fault(context, name, fault, value):
    """Any fault switch; the value is a number, true, false, or a list of texts."""
    words = {"true": True, "false": False}
    set_faults(
        context, name, **{fault: words[value] if value in words else ast.literal_eval(value)}
    )


@when('"{name:Word}" goes down')
def set_down(context, name):
    """The platform, a service or the weight store."""
    set_faults(context, name, down=True)


@when('"{name:Word}" comes back')
def set_up(context, name):
    """End of ``goes down``."""
    set_faults(context, name, down=False)


@when('the next answer of "{name:Word}" is lost')
def lose_answer(context, name):
    """The next write or order takes effect and its connection is closed without an answer."""
    set_faults(context, name, lose_answers=1)


@when('the next engine order to "{name:Word}" is lost')
def lose_order(context, name):
    """The order is answered as accepted and never arrives."""
    set_faults(context, name, lose_orders=1)


@when('engine orders to "{name:Word}" are late by {seconds:g} s')
def delay_orders(context, name, seconds):
    """Orders are answered at once and arrive later."""
    set_faults(context, name, delay_orders_s=seconds)


@when('domain "{domain:Word}" is cut off from the platform')
def cut_domain(context, domain):
    """The platform closes every connection of the domain's callers."""
    set_faults(context, "platform", cut_domains=[domain])


@when("no domain is cut off from the platform")
def end_cut(context):
    """End of ``is cut off``."""
    set_faults(context, "platform", cut_domains=[])


@then('"{name:Word}" has crashed {count:d} time')
@then('"{name:Word}" has crashed {count:d} times')
def check_crashes(context, name, count):
    """Wait until an engine has counted its crashes; it answers again after its restart."""
    system = context.system
    process = system.find(name)

    def has_crashed() -> bool:
        answer = system.calls.send(process.address, "GET", "/counts")
        return answer.is_ok() and answer.ok_value.json()["crashes"] == count

    system.calls.wait_until(has_crashed, f"{count} crashes of {name}")
