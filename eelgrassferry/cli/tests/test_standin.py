"""Tests of the stand-ins, run as processes."""

import asyncio
import json
import signal
import sys
import unittest

from ...http import HttpClient


class StandinCommandTest(unittest.IsolatedAsyncioTestCase):
    """``python -m eelgrassferry standin``."""

    async def test_each_kind_becomes_ready_and_stops_on_sigterm(self):
        """Guards against a stand-in that scenarios cannot start, reach or stop."""
        client = HttpClient()
        self.addCleanup(client.close)
        flags = {
            "platform": ["--host-lag-s", "0"],
            "engine": ["--memory-mib", "100", "--no-checks-fence", "--preload", "m1:1:50"],
            "service": ["--concurrency", "2"],
            "store": ["--slots", "3"],
        }
        for kind, options in flags.items():
            with self.subTest(kind=kind):
                command = ("-m", "eelgrassferry", "standin", kind, *options)
                process = await asyncio.create_subprocess_exec(
                    sys.executable, *command, stdout=asyncio.subprocess.PIPE
                )
                try:
                    line = json.loads(await process.stdout.readline())
                    self.assertIs(line["ready"], True)
                    counts = await client.request(line["address"], "GET", "/counts")
                    self.assertEqual(counts.unwrap().status, 200)
                    if kind == "engine":
                        self.assertEqual(counts.unwrap().json()["max_used_mib"], 50)
                    process.send_signal(signal.SIGTERM)
                    last, _ = await asyncio.wait_for(process.communicate(), 10)
                    self.assertEqual(process.returncode, 0)
                    self.assertEqual(json.loads(last)["counts"], counts.unwrap().json())
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()
