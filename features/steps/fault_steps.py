"""Steps that inject faults through the fault switches of the stand-ins."""

import ast

from behave import then, when


def set_faults(context, name, **faults):
    """Set fault switches of a stand-in."""
    context.system.http.set_faults(context.system.address(name), **faults)


@when('"{name:Word}" has the fault "{fault:Word}" set to {value}')
def set_fault(context, name, fault, value):
    """Set any fault switch; the value is a number, true, false, or a list of strings."""
    booleans = {"true": True, "false": False}
    set_faults(
        context, name, **{fault: booleans[value] if value in booleans else ast.literal_eval(value)}
    )


@when('"{name:Word}" goes down')
def set_down(context, name):
    """Make the platform, a service or the weight store unavailable."""
    set_faults(context, name, down=True)


@when('"{name:Word}" comes back')
def set_up(context, name):
    """Make a stand-in available again after ``goes down``."""
    set_faults(context, name, down=False)


@when('the next answer of "{name:Word}" is lost')
def lose_answer(context, name):
    """Let the next write or order take effect, then close its connection without an answer."""
    set_faults(context, name, lose_answers=1)


@when('the next engine order to "{name:Word}" is lost')
def lose_order(context, name):
    """Answer the next engine order as accepted, and drop it."""
    set_faults(context, name, lose_orders=1)


@when('engine orders to "{name:Word}" are late by {seconds:g} s')
def delay_orders(context, name, seconds):
    """Answer engine orders at once, and deliver them later."""
    set_faults(context, name, delay_orders_s=seconds)


@when('domain "{domain:Word}" is cut off from the platform')
def isolate_domain(context, domain):
    """Make the platform close every connection from callers in a domain."""
    set_faults(context, "platform", cut_domains=[domain])


@when("no domain is cut off from the platform")
def end_isolation(context):
    """Let the platform accept connections from all domains again."""
    set_faults(context, "platform", cut_domains=[])


@then('"{name:Word}" has crashed {count:d} time')
@then('"{name:Word}" has crashed {count:d} times')
def check_crashes(context, name, count):
    """Wait until an engine reports this many crashes; it answers again after its restart."""
    system = context.system
    process = system.find(name)

    def has_crashed() -> bool:
        answer = system.http.send(process.address, "GET", "/counts")
        return answer.is_ok() and answer.ok_value.json()["crashes"] == count

    system.http.wait_until(has_crashed, f"{count} crashes of {name}")
