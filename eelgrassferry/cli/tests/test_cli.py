"""Tests of the commands and their exit codes."""

import contextlib
import io
import json
import os
import sys
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

from ...settings import read_sample
from .. import apply_command, main
from .operator_server import OperatorServer

SAMPLES = Path(__file__).resolve().parents[3] / "deployments"
BASE, OVERLAY = str(SAMPLES / "base.ini"), str(SAMPLES / "uy-sur.ini")


def run(*tokens: str) -> tuple[int, str, str]:
    """Run a command; return its exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(tokens)
    return int(code), out.getvalue(), err.getvalue()


class LocalCommandsTest(unittest.TestCase):
    """Commands that do not send requests to a node."""

    def setUp(self) -> None:
        temp_directory = tempfile.TemporaryDirectory()
        self.addCleanup(temp_directory.cleanup)
        self.directory = Path(temp_directory.name)

    def write(self, text: str) -> str:
        path = self.directory / "overlay.ini"
        path.write_text(text)
        return str(path)

    def test_check_accepts_the_samples(self):
        """Guards against a valid deployment that is refused or counted incorrectly."""
        code, out, _ = run("check", BASE, OVERLAY, "--settings", str(SAMPLES / "node.ini"))
        self.assertEqual((code, out.split(":")[0]), (0, "uy-sur"))
        _, out, _ = run("check", BASE, OVERLAY, "--json")
        self.assertEqual(json.loads(out)["models"], 25)

    def test_invalid_files_give_exit_code_2(self):
        """Guards against an exit code that lets a script apply invalid files."""
        bad = self.write(read_sample("uy-sur.ini").text + "[oops]\n")
        for command in ("check", "effective"):
            code, out, err = run(command, BASE, bad)
            self.assertEqual((code, out), (2, ""))
            self.assertIn("[oops]", err)
        code, out, _ = run("check", BASE, bad, "--json")
        self.assertEqual((code, json.loads(out)["errors"][0]["section"]), (2, "oops"))
        self.assertEqual(run("check", BASE, str(self.directory / "absent.ini"))[0], 2)
        other = str(SAMPLES / "lower-mainland.ini")
        self.assertEqual(run("check", BASE, other, "--settings", str(SAMPLES / "node.ini"))[0], 2)

    def test_usage_errors_give_exit_code_2(self):
        """Guards against a usage error that is reported as a refusal or a success."""
        for tokens in (
            (),
            ("chekc",),
            ("check", BASE),
            ("apply", BASE, OVERLAY, "--based-on", "x"),
        ):
            self.assertEqual(run(*tokens)[0], 2, tokens)

    def test_effective_output_is_accepted_by_check(self):
        """Guards against output of ``effective`` that is not a valid base file."""
        _, out, _ = run("effective", BASE, OVERLAY)
        self.assertIn("# default", out)
        self.assertEqual(run("check", self.write(out), os.devnull)[0], 0)

    def test_run_commands_forward_their_options(self):
        """Guards against options that are not forwarded to the node, demo or stand-in."""
        calls: list[tuple] = []

        async def run_node(settings):
            calls.append(("node", settings.name))

        async def run_demo(site, seconds):
            calls.append(("demo", site, seconds))
            return 1

        def standin_app(tokens, **_options):
            calls.append(("standin", *tokens))

        node = types.SimpleNamespace(run_node=run_node)
        embedded = types.SimpleNamespace(run_demo=run_demo)
        standin = types.SimpleNamespace(standin_app=standin_app)
        package = __package__.partition(".")[0]
        modules = {
            f"{package}.node": node,
            f"{package}.embedded": embedded,
            f"{package}.cli.standin": standin,
        }
        with mock.patch.dict(sys.modules, modules):
            self.assertEqual(run("node", "--settings", str(SAMPLES / "node.ini"))[0], 0)
            self.assertEqual(run("demo", "--site", "uy-sur", "--seconds", "2")[0], 1)
            self.assertEqual(run("standin", "store", "--listen", "127.0.0.1:1", "--help")[0], 0)
        expected = ("standin", "store", "--listen", "127.0.0.1:1", "--help")
        self.assertEqual(calls, [("node", "entry-1"), ("demo", "uy-sur", 2.0), expected])
        self.assertEqual(run("node", "--settings", BASE)[0], 2)


class NodeCommandsTest(unittest.TestCase):
    """Commands that send requests to an operator listener."""

    def setUp(self) -> None:
        self.server = OperatorServer()
        self.addCleanup(self.server.close)
        for name, value in (("RETRY_DELAY_S", 0.01), ("POLL_INTERVAL_S", 0.01)):
            patch = mock.patch.object(apply_command, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def run_command(self, *tokens: str, token: str = "secret") -> tuple[int, str, str]:
        with mock.patch.dict(os.environ, {"EELGRASSFERRY_TOKEN": token}):
            return run(*tokens, "--node", self.server.address)

    def apply(self, based_on: int, *options: str) -> tuple[int, str, str]:
        return self.run_command("apply", BASE, OVERLAY, "--based-on", str(based_on), *options)

    def test_apply_waits_for_every_live_node(self):
        """Guards against a wait that ends before all live nodes have the revision."""
        self.server.lag_polls = 3
        code, out, _ = self.apply(0, "--wait", "--json")
        found = json.loads(out)
        self.assertEqual((code, found["revision"], found["in_force"]), (0, 1, True))
        self.assertLess(self.server.lag_polls, 0)
        self.server.lag_polls = 10**6
        code, out, _ = self.apply(1, "--wait", "--wait-timeout", "0.1")
        self.assertEqual(code, 1)
        self.assertIn("at: n2", out)

    def test_call_with_lost_answer_is_repeated_without_a_second_change(self):
        """Guards against a change that is applied twice, or reported as failed but in force.

        The change takes effect, but its answer is lost.
        """
        self.server.lose_answers = 2
        self.assertEqual(self.apply(0)[:2], (0, "revision 1 accepted\n"))
        self.server.lose_answers = 99
        code, _, err = self.apply(1, "--change-id", "c9")
        self.assertEqual(code, 3)
        self.assertIn("--based-on 1 --change-id c9", err)
        self.server.lose_answers = 0
        self.assertEqual(self.apply(1, "--change-id", "c9")[:2], (0, "revision 2 accepted\n"))

    def test_diff_and_conflict_give_exit_code_1(self):
        """Guards against a difference or conflict that is reported as success."""
        self.assertEqual(self.run_command("diff", BASE, OVERLAY)[0], 1)
        self.apply(0)
        self.assertEqual(self.run_command("diff", BASE, OVERLAY)[0], 0)
        code, out, _ = self.apply(0)
        self.assertEqual(code, 1)
        self.assertIn("revision 1 is in force", out)

    def test_invalid_settings_at_the_node_give_exit_code_2(self):
        """Guards against errors found by the node that are printed without their location."""
        lower = str(SAMPLES / "lower-mainland.ini")
        code, _, err = self.run_command("apply", BASE, lower, "--based-on", "0")
        self.assertEqual(code, 2)
        self.assertIn("lower-mainland.ini: [site] name", err)

    def test_status_drain_and_explain(self):
        """Guards against replies of the node that are not printed."""
        code, out, _ = self.run_command("status")
        self.assertEqual(code, 0)
        self.assertIn("n2  domain=montevideo-b  state=live", out)
        self.assertEqual(json.loads(self.run_command("status", "--json")[1])["node"], "n1")
        self.assertEqual(self.run_command("drain", "pampa-1")[:2], (0, "pampa-1: draining\n"))
        self.assertIn(
            "resident on pampa-1", self.run_command("explain", "--model", "chat-small")[1]
        )
        self.assertEqual(self.run_command("explain", "--request-id", "r")[0], 1)
        self.assertEqual(self.run_command("explain")[0], 2)

    def test_token_and_reachability(self):
        """Guards against wrong exit codes for an invalid token or an unreachable node."""
        self.assertEqual(self.run_command("status", token="wrong")[0], 1)
        self.assertEqual(self.run_command("status", token="")[0], 2)
        with mock.patch.dict(os.environ, {"EELGRASSFERRY_TOKEN": "secret"}):
            self.assertEqual(run("status", "--node", "127.0.0.1:1")[0], 3)
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("secret\n")
            file.flush()
            code, _, _ = self.run_command("status", "--token-file", file.name, token="")
            self.assertEqual(code, 0)
