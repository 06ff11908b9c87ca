"""The processes, requests and orders of a scenario."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

from result import Err

from .order_call import OrderCall
from .process import Process
from .request_call import RequestCall
from .sync_http_client import SyncHttpClient

__all__ = ["System"]


class System:
    """The system under test: starts processes, sends them requests and orders, and sums counts.

    Processes are addressed by their names in the scenario.
    """

    def __init__(self) -> None:
        self.http = SyncHttpClient()
        self.processes: dict[str, Process] = {}
        self.requests: list[RequestCall] = []
        self.orders: list[OrderCall] = []
        self._replaced: list[Process] = []
        self._sent_count = 0

    def start_standin(self, kind: str, name: str, /, **options: Any) -> Process:
        """Start a stand-in with options of the command ``eelgrassferry standin``.

        The texts ``yes``, ``no``, ``true`` and ``false`` in a table of a scenario are converted to
        booleans. The call does not wait until the stand-in is ready.
        """
        booleans = {"yes": True, "true": True, "no": False, "false": False}
        options = {option: booleans.get(str(v).lower(), v) for option, v in options.items()}
        flags: list[str] = []
        for option, value in options.items():
            flag = option.replace("_", "-")
            match value:
                case bool():
                    flags.append(f"--{flag}" if value else f"--no-{flag}")
                case list() | tuple():
                    flags += [part for item in value for part in (f"--{flag}", str(item))]
                case _:
                    flags += [f"--{flag}", str(value)]
        # Stand-ins start in parallel; the first use of each waits until it is ready.
        process = self.launch(kind, name, ("standin", kind, *flags))
        process.options = options
        return process

    def start(self, kind: str, name: str, command: Sequence[str]) -> Process:
        """Start a process and wait until it is ready."""
        process = self.launch(kind, name, command)
        process.wait_ready()
        return process

    def launch(self, kind: str, name: str, command: Sequence[str]) -> Process:
        """Start a process without waiting until it is ready.

        The name of a process that has ended can be reused.
        """
        old = self.processes.pop(name, None)
        assert old is None or not old.is_running, f"{name} is already started"
        if old is not None:
            self._replaced.append(old)
        process = self.processes[name] = Process(name, kind, command)
        return process

    def restart(self, name: str) -> Process:
        """Start a new process for an ended stand-in at the same address, without its old state."""
        old = self.find(name)
        assert not old.is_running, f"{name} is still running"
        port = old.address.rpartition(":")[2]
        port_flag = () if "--port" in old.command else ("--port", port)
        process = self.start(old.kind, name, (*old.command, *port_flag))
        process.options, process.domain = old.options, old.domain
        return process

    def find(self, name: str) -> Process:
        """Return the current process with a name."""
        assert name in self.processes, f"no process {name!r}; there are {sorted(self.processes)}"
        return self.processes[name]

    def address(self, name: str) -> str:
        """Return the address of a process."""
        return self.find(name).address

    def send_requests(self, count: int, target: str, model: str, **fields: Any) -> None:
        """Send requests in parallel without waiting for their answers.

        ``fields`` are fields of ``RequestCall``, or ``marker``: a crash marker for the prompts.
        """
        marker = fields.pop("marker", "")
        for _ in range(count):
            self._sent_count += 1
            prompt = f"request {self._sent_count} of the scenario {marker}".strip()
            fields.setdefault("max_tokens", 16)
            call = RequestCall(self.find(target), model, prompt, crashes=bool(marker), **fields)
            self.send_request(call)

    def send_request(self, call: RequestCall) -> RequestCall:
        """Send one request without waiting for its answer."""
        call.target.wait_ready()
        sent = call.with_future(self.http.submit(call.send(self.http.client)))
        self.requests.append(sent)
        return sent

    def send_order(self, target: str, path: str, key: str) -> OrderCall:
        """Send one order without waiting for its answer."""
        process = self.find(target)
        coroutine = OrderCall.send(self.http.client, process.address, path, key)
        order = OrderCall(process, path, key, self.http.submit(coroutine))
        self.orders.append(order)
        return order

    def kill(self, name: str) -> None:
        """Kill a process after reading its counts, which remain part of the sums."""
        process = self.find(name)
        self.read_counts(process)
        process.kill()

    def read_counts(self, process: Process) -> dict[str, Any]:
        """Return the counts of a stand-in, or the last known ones if it has ended.

        An engine that restarts after a crash refuses connections for a while, so the call retries
        until it answers.
        """

        def has_answered() -> bool:
            answer = self.http.send(process.address, "GET", "/counts")
            if isinstance(answer, Err):
                return False
            process.last_counts = answer.ok_value.json()
            return True

        if process.kind != "node" and process.is_running:
            self.http.wait_until(has_answered, f"the counts of {process.name}")
        return process.last_counts

    def count_order_runs(self) -> Counter[str]:
        """Return how often each order ran at all services together, by order key."""
        runs: Counter[str] = Counter()
        for process in self.all_of_kind("service"):
            runs.update(self.read_counts(process).get("orders", {}))
        return runs

    def count_request_starts(self) -> Counter[str]:
        """Return how often each request was started at all engines together, by request digest."""
        starts: Counter[str] = Counter()
        for process in self.all_of_kind("engine"):
            starts.update(self.read_counts(process).get("digests", {}))
        return starts

    def of_kind(self, kind: str) -> list[Process]:
        """Return the current process of each name of a kind, whether it is running or not."""
        return [process for process in self.processes.values() if process.kind == kind]

    def all_of_kind(self, kind: str) -> list[Process]:
        """Return all processes of a kind, including those replaced by a later one of their name."""
        return [*(old for old in self._replaced if old.kind == kind), *self.of_kind(kind)]

    def wait_for_outcomes(self) -> None:
        """Resume frozen processes and wait for the outcomes of all requests and orders."""
        for process in self.processes.values():
            process.resume()
        for call in (*self.requests, *self.orders):
            _ = call.outcome

    def close(self) -> None:
        """Close the HTTP client, then end all processes, the last started first."""
        self.http.close()
        for process in (*reversed(self.processes.values()), *self._replaced):
            process.close()
