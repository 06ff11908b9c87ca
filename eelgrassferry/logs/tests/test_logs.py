"""Tests of the log lines."""

import asyncio
import io
import json
import unittest

import structlog

from .. import bind_request, configure_logs, to_whole_ms


class LogsTest(unittest.TestCase):
    """Lines written to a buffer."""

    def setUp(self) -> None:
        self.stream = io.StringIO()
        self.addCleanup(structlog.reset_defaults)
        configure_logs("info", self.stream)

    def lines(self) -> list[dict]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_concurrent_requests_keep_their_own_fields(self):
        """Guards against a line that carries the request id of another request."""

        async def serve(name: str) -> None:
            with bind_request(name, f"peer of {name}"):
                await asyncio.sleep(0)
                structlog.get_logger().info("served", step="dispatch")

        async def serve_both() -> None:
            await asyncio.gather(serve("r1"), serve("r2"))
            structlog.get_logger().info("idle")

        asyncio.run(serve_both())
        found = [(x["request_id"], x["peer"], x["step"]) for x in self.lines()]
        expected = [("r1", "peer of r1", "dispatch"), ("r2", "peer of r2", "dispatch")]
        self.assertEqual(found, [*expected, ("", "", "")])

    def test_every_line_is_one_json_object(self):
        """Guards against line breaks, tracebacks and odd values that split or lose a line."""
        log = structlog.get_logger()
        log.debug("hidden")
        log.warning("a\nb", value=object())
        try:
            raise ValueError("broken")
        except ValueError as exc:
            log.error("failed", step="s", exc_info=exc)
        first, second = self.lines()
        self.assertEqual((first["event"], first["level"]), ("a\nb", "warning"))
        self.assertIn("ValueError: broken", second["exception"])

    def test_unknown_level_is_refused(self):
        """Guards against a mistyped level that silences the log."""
        with self.assertRaises(ValueError):
            configure_logs("loud")


class WholeMsTest(unittest.TestCase):
    """Durations in log lines."""

    def test_unknown_duration_is_none(self):
        """Guards against a request that is lost because its log line could not be written."""
        self.assertEqual(to_whole_ms(0.0125), 12)
        self.assertIsNone(to_whole_ms(float("inf")))
        self.assertIsNone(to_whole_ms(float("-inf")))
