"""Benchmark of the cost of placement control at several sizes.

Run ``python -m eelgrassferry.placement.measure``. Times are processor time of this process,
memory is measured with ``tracemalloc``, and calls are counted on a simulated object API and
simulated engines.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok

from ..leases import LeaseMachine, LeaseTerm, ReadLease, WriteLease
from ..objects import Conflict, StoredObject
from ..settings import Adapter, Deployment, Model, Site, Upstream, UpstreamKind, WeightStore
from .controller import AreaController
from .engine import EngineStatus, Item, ItemKind, OrderKind, Resident
from .ledger import MemoryLedger
from .planner import Planner
from .record import UpstreamRecord
from .simulated_area import SimulatedArea
from .simulated_engine import SimulatedEngine
from .view_builder import PlanViewBuilder

__all__ = ["main"]

SIZES = ((6, 25), (60, 250), (186, 400), (930, 1700))
MODEL_MIB = 20
UPSTREAM_MIB = 120


def make_deployment(upstreams: int, models: int) -> Deployment:
    """Return a deployment of the given size, with two adapters for each model."""
    rng = random.Random(7)
    # Memory for one copy of every model and about a third more copies.
    memory_mib = max(UPSTREAM_MIB, int(models * MODEL_MIB * 4 / 3 / upstreams) + MODEL_MIB)
    names = [f"m{n}" for n in range(models)]
    return Deployment(
        site=Site("s1", ("d1", "d2", "d3"), move_cost=10.0),
        store=WeightStore(loads_per_s=1000.0, slots=1000),
        models={name: Model(name, MODEL_MIB) for name in names},
        adapters={
            f"{name}-a{n}": Adapter(f"{name}-a{n}", name, 1) for name in names for n in range(2)
        },
        upstreams={
            f"u{n}": Upstream(
                f"u{n}",
                UpstreamKind.ENGINE,
                "127.0.0.1:1",
                f"d{n % 3 + 1}",
                memory_mib=memory_mib,
                decode_tokens_per_s=rng.choice([800.0, 1600.0, 6400.0]),
            )
            for n in range(upstreams)
        },
    )


def mean_cpu_ms(call: Callable[[], object], repeat: int) -> float:
    """Return the mean processor time of a call in milliseconds."""
    start_s = time.process_time()
    for _ in range(repeat):
        call()
    return (time.process_time() - start_s) / repeat * 1000.0


def report_initial_copies(controller: AreaController, deployment: Deployment, now: float) -> None:
    """Report an empty record and a status for every upstream, with each model resident once."""
    names = list(deployment.models)
    upstreams = list(controller.area.upstreams)
    for index, upstream in enumerate(upstreams):
        placed_names = names[index :: len(upstreams)]
        residents = tuple(Resident(Item(ItemKind.MODEL, n, "1"), MODEL_MIB) for n in placed_names)
        controller.on_record(upstream, 0, None, now)
        memory_mib = deployment.upstreams[upstream].memory_mib
        controller.on_status(upstream, EngineStatus(memory_mib, residents=residents), now, now)


def measure_planning(upstreams: int, models: int) -> None:
    """Print the cost of building the view, planning and a tick without a plan, and the memory."""
    deployment = make_deployment(upstreams, models)
    gc.collect()
    tracemalloc.start()
    controller = AreaController("n1:a")
    controller.update_deployment(deployment, 0.0)
    controller.update_term(LeaseTerm(1, float("inf")), 0.0)
    report_initial_copies(controller, deployment, 1.0)
    rng = random.Random(3)
    names = list(deployment.models)
    for name in names:
        controller.record_demand(name, True, 1.0, 1.0)
    for name in rng.sample(names, max(1, models // 20)):
        controller.record_demand(name, True, 1.0, 400.0)
    memory_kib = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    area, planner = controller.area, Planner()
    repeat = max(3, 3000 // models)
    builder = PlanViewBuilder(area, 128.0)
    view = builder.build(2.0, frozenset(), 4)
    view_ms = mean_cpu_ms(lambda: builder.build(2.0, frozenset(), 4), repeat)
    plan_ms = mean_cpu_ms(lambda: planner.plan(view), repeat)
    controller.tick(2.0)
    tick_ms = mean_cpu_ms(lambda: controller.tick(2.05), repeat)
    moves = len(planner.plan(view))
    print(
        f"planning {upstreams:4d} upstreams {models:5d} models: view {view_ms:8.3f} ms, "
        f"plan {plan_ms:8.3f} ms, tick without plan {tick_ms:7.4f} ms, {moves} moves, "
        f"memory {memory_kib:8.0f} KiB"
    )


def measure_ledger(residents: int) -> None:
    """Print the cost of handling a status, and of a reservation with its write, in one ledger."""
    items = [Item(ItemKind.MODEL, f"m{n}", "1") for n in range(residents)]
    resident_items = tuple(Resident(item, 1) for item in items)
    gc.collect()
    tracemalloc.start()
    ledger = MemoryLedger("u1", "n1:a", residents + 100, False, 5.0)
    ledger.begin_term(1, 0.0)
    ledger.on_record(0, UpstreamRecord(residents=resident_items), 0.0)
    ledger.on_status(EngineStatus(residents + 100, residents=resident_items), 1.0, 1.0)
    memory_kib = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    count = 0

    def settle() -> None:
        nonlocal count
        count += 1
        now = 1.0 + count
        ledger.on_status(EngineStatus(residents + 100, residents=resident_items), now, now)

    def reserve() -> None:
        nonlocal count
        count += 1
        ledger.reserve(OrderKind.LOAD_MODEL, "x", "1", 1, f"o{count}").unwrap()
        write = ledger.pop_write()
        assert write is not None
        write.record.encode()
        ledger.discard_record()
        ledger.on_record(0, UpstreamRecord(residents=resident_items), 0.0)

    size = len(UpstreamRecord(residents=resident_items).encode())
    print(
        f"ledger {residents:4d} residents: status {mean_cpu_ms(settle, 500) * 1000:7.1f} us, "
        f"reservation and write {mean_cpu_ms(reserve, 500) * 1000:7.1f} us, "
        f"record {size} bytes, memory {memory_kib:6.1f} KiB"
    )


def measure_moves() -> None:
    """Print the calls per load while all models of a small site are loaded on empty engines."""
    deployment = make_deployment(6, 25)
    deployment = replace(deployment, store=WeightStore(loads_per_s=1.5, slots=2))
    engines = {n: SimulatedEngine(u.memory_mib) for n, u in deployment.upstreams.items()}
    area = SimulatedArea(deployment, engines)
    area.take_over(AreaController("n1:a"))
    area.run(40.0)
    first = dict(area.counts)
    loads = sum(engine.loads for engine in engines.values())
    print(
        f"moves: {loads} loads in 40 s with "
        + ", ".join(f"{name} {count / loads:.2f}" for name, count in sorted(first.items()))
        + " for each load"
    )
    area.run(60.0)
    idle = {name: area.counts[name] - first.get(name, 0) for name in area.counts}
    calls = ", ".join(f"{name} {count}" for name, count in sorted(idle.items()))
    print(f"idle: {calls} in 60 s at 6 upstreams")


def measure_lease() -> None:
    """Print the object API calls of a lease holder and a candidate over a simulated hour."""
    stored: StoredObject | None = None
    counts = {"holder": [0, 0], "candidate": [0, 0]}
    machines = {"holder": LeaseMachine("a", "n1:a"), "candidate": LeaseMachine("a", "n2:b")}
    start_s = time.process_time()
    for step in range(36000):
        now = step / 10
        for name, machine in machines.items():
            for action in machine.tick(now):
                match action:
                    case ReadLease():
                        counts[name][0] += 1
                        machine.on_read(Ok(stored), now)
                    case WriteLease(value, expected):
                        counts[name][1] += 1
                        if expected != (stored.version if stored else 0):
                            conflict = Conflict("put", "memory", "leases/a")
                            machine.on_write(Err(conflict), now)
                            continue
                        stored = StoredObject("leases/a", expected + 1, value)
                        machine.on_write(Ok(stored.version), now)
    spent_us = (time.process_time() - start_s) / 72000 * 1e6
    for name, (reads, writes) in counts.items():
        print(f"lease: {name} {reads} reads and {writes} writes in an hour")
    print(f"lease: {spent_us:.1f} us of processor time for each step of 0.1 s")


def main() -> None:
    """Print all results."""
    for upstreams, models in SIZES:
        measure_planning(upstreams, models)
    for residents in (4, 16, 64):
        measure_ledger(residents)
    measure_moves()
    measure_lease()


if __name__ == "__main__":
    main()
