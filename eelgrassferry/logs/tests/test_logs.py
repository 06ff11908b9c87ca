"""Tests of the format and the fields of log lines."""

import asyncio
import io
import json
import unittest

import structlog

from .. import bind_request, configure_logs, to_whole_ms


class LogsTest(unittest.TestCase):
    """Log lines written to a string buffer."""

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
        found = [(line["request_id"], line["peer"], line["step"]) for line in self.lines()]
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
        """Guards against a misspelled level that disables the log."""
        with self.assertRaises(ValueError):
            configure_logs("loud")


class WholeMsTest(unittest.TestCase):
    """Conversion of durations to whole milliseconds."""

    def test_unknown_duration_is_none(self):
        """Guards against losing a request because its log line contains an infinite duration."""
        self.assertEqual(to_whole_ms(0.0125), 12)
        self.assertIsNone(to_whole_ms(float("inf")))
        self.assertIsNone(to_whole_ms(float("-inf")))
