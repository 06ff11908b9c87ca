"""All processes and all work of one scenario."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

from result import Err

from .calls import Calls
from .order_call import OrderCall
from .process import Process
from .request_call import RequestCall

__all__ = ["System"]


class System:
    """Starts processes by name, sends work to them, and sums up their counts."""

    def __init__(self) -> None:
        self.calls = Calls()
        self.processes: dict[str, Process] = {}
        self.requests: list[RequestCall] = []
        self.orders: list[OrderCall] = []
        self._ended: list[Process] = []
        self._sent = 0

    def start_standin(self, kind: str, name: str, /, **options: Any) -> Process:
        """Start a stand-in with options as ``eelgrassferry standin`` names them.

        Text of a scenario's table may stand for a boolean: ``yes``, ``no``, ``true``, ``false``.
        """
        words = {"yes": True, "true": True, "no": False, "false": False}
        options = {option: words.get(str(v).lower(), v) for option, v in options.items()}
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
        # Stand-ins start at the same time: their first use waits until they are ready.
        process = self.launch(kind, name, ("standin", kind, *flags))
        process.options = options
        return process

    def start(self, kind: str, name: str, command: Sequence[str]) -> Process:
        """Start a process and wait until it is ready."""
        process = self.launch(kind, name, command)
        process.wait_ready()
        return process

    def launch(self, kind: str, name: str, command: Sequence[str]) -> Process:
        """Start a process without waiting; a name whose process has ended may be used again."""
        old = self.processes.pop(name, None)
        assert old is None or not old.runs, f"{name} is already started"
        if old is not None:
            self._ended.append(old)
        process = self.processes[name] = Process(name, kind, command)
        return process

    def restart(self, name: str) -> Process:
        """Start an ended stand-in anew at the same address; its memory is gone."""
        old = self.find(name)
        assert not old.runs, f"{name} is still running"
        port = old.address.rpartition(":")[2]
        port_flag = () if "--port" in old.command else ("--port", port)
        process = self.start(old.kind, name, (*old.command, *port_flag))
        process.options, process.domain = old.options, old.domain
        return process

    def find(self, name: str) -> Process:
        """Return a process by its name in the scenario."""
        assert name in self.processes, f"no process {name!r}; there are {sorted(self.processes)}"
        return self.processes[name]

    def address(self, name: str) -> str:
        """Return the address of a process."""
        return self.find(name).address

    def send_requests(self, count: int, target: str, model: str, **fields: Any) -> None:
        """Send requests at the same time without waiting for their answers."""
        marker = fields.pop("marker", "")
        for _ in range(count):
            self._sent += 1
            prompt = f"request {self._sent} of the scenario {marker}".strip()
            fields.setdefault("max_tokens", 16)
            call = RequestCall(self.find(target), model, prompt, crashes=bool(marker), **fields)
            self.send_request(call)

    def send_request(self, call: RequestCall) -> RequestCall:
        """Send one request without waiting for its answer."""
        call.target.wait_ready()
        sent = call.with_future(self.calls.start(call.run(self.calls.client)))
        self.requests.append(sent)
        return sent

    def send_order(self, target: str, path: str, key: str) -> OrderCall:
        """Send one order without waiting for its answer."""
        process = self.find(target)
        work = OrderCall.run(self.calls.client, process.address, path, key)
        order = OrderCall(process, path, key, self.calls.start(work))
        self.orders.append(order)
        return order

    def kill(self, name: str) -> None:
        """Kill a process; its counts as of just before stay part of the sums."""
        process = self.find(name)
        self.read_counts(process)
        process.kill()

    def read_counts(self, process: Process) -> dict[str, Any]:
        """Return the counts of a stand-in, the last ones known if it has ended.

        An engine that restarts after a crash refuses connections for a while and is waited for.
        """

        def has_answered() -> bool:
            answer = self.calls.send(process.address, "GET", "/counts")
            if isinstance(answer, Err):
                return False
            process.last_counts = answer.ok_value.json()
            return True

        if process.kind != "node" and process.runs:
            self.calls.wait_until(has_answered, f"the counts of {process.name}")
        return process.last_counts

    def count_orders(self) -> Counter[str]:
        """Return how often each order ran, over all services."""
        runs: Counter[str] = Counter()
        for process in self.all_of_kind("service"):
            runs.update(self.read_counts(process).get("orders", {}))
        return runs

    def count_starts(self) -> Counter[str]:
        """Return how often each request digest was started, over all engines."""
        starts: Counter[str] = Counter()
        for process in self.all_of_kind("engine"):
            starts.update(self.read_counts(process).get("digests", {}))
        return starts

    def of_kind(self, kind: str) -> list[Process]:
        """Return the present process of each name of a kind, running or not."""
        return [process for process in self.processes.values() if process.kind == kind]

    def all_of_kind(self, kind: str) -> list[Process]:
        """Return the processes of a kind with those that were replaced, for sums of counts."""
        return [*(old for old in self._ended if old.kind == kind), *self.of_kind(kind)]

    def settle(self) -> None:
        """Let frozen processes go on and wait until all work has an outcome."""
        for process in self.processes.values():
            process.resume()
        for call in (*self.requests, *self.orders):
            _ = call.outcome

    def end(self) -> None:
        """End all processes, the callers' side first."""
        self.calls.close()
        for process in (*reversed(self.processes.values()), *self._ended):
            process.end()
