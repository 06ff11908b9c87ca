"""The report of a run: attainment, moves, refusals by reason, and violated invariants."""

from collections import Counter
from dataclasses import dataclass

from .deployment import EmbeddedDeployment
from .load import CallKind, CallResult

__all__ = ["Report", "format_report", "make_report"]


@dataclass(frozen=True)
class KindRow:
    """The number of requests of one kind: sent, answered correctly, and served within target."""

    kind: CallKind
    offered: int
    served: int
    in_target: int


@dataclass(frozen=True)
class Report:
    """The figures of one run. ``violations`` describes the violated invariants."""

    site: str
    accelerators: int
    rows: tuple[KindRow, ...]
    loads: int
    unloads: int
    role_changes: int
    adapter_loads: int
    refusals: tuple[tuple[str, int], ...]
    orders_run: int
    violations: tuple[str, ...]

    @property
    def attainment(self) -> float:
        """The number of model requests served within target per accelerator."""
        models = (CallKind.URGENT, CallKind.PATIENT)
        served = sum(row.in_target for row in self.rows if row.kind in models)
        return served / self.accelerators


def make_report(deployment: EmbeddedDeployment, results: tuple[CallResult, ...]) -> Report:
    """Return the report made from the callers' results and the counters of the stand-ins."""
    rows = []
    for kind in CallKind:
        matching = [result for result in results if result.kind is kind]
        rows.append(
            KindRow(
                kind,
                len(matching),
                sum(result.correct for result in matching),
                sum(result.in_target for result in matching),
            )
        )
    counts = [engine.read_counts() for engine in deployment.engines.values()]
    run_counts: Counter[str] = Counter()
    for service in deployment.services.values():
        run_counts.update(service.read_counts()["orders"])
    return Report(
        deployment.deployment.site.name,
        deployment.accelerators,
        tuple(rows),
        sum(count.get("loads", 0) for count in counts),
        sum(count.get("unloads", 0) for count in counts),
        sum(count.get("role_changes", 0) for count in counts),
        sum(count.get("adapter_loads", 0) for count in counts),
        tuple(sorted(Counter(r.reason for r in results if r.reason).items())),
        sum(run_counts.values()),
        find_violations(results, counts, run_counts),
    )


def find_violations(
    results: tuple[CallResult, ...], counts: list[dict], run_counts: Counter[str]
) -> tuple[str, ...]:
    """Return a description of every violated invariant.

    Engines never overcommit memory. An order runs at most once, runs if it was confirmed, and
    does not run if its caller was told so. Answers are complete and correct.
    """
    violations = []
    overcommits = sum(count["overcommits"] for count in counts)
    if overcommits:
        violations.append(f"{overcommits} engine orders would have overcommitted memory")
    violations += [
        f"order {key} ran {count} times" for key, count in run_counts.items() if count > 1
    ]
    for result in results:
        if result.reason == "wrong_answer":
            violations.append(
                f"a {result.kind.value} got an answer that is not whole or not its own"
            )
        if result.key and result.ran == "no" and run_counts[result.key]:
            violations.append(f"order {result.key} ran, and its caller was told that it did not")
        if result.key and result.correct and not run_counts[result.key]:
            violations.append(f"order {result.key} was confirmed and did not run")
    return tuple(violations)


def format_report(report: Report) -> str:
    """Return the report as text."""
    lines = [
        f"site {report.site}: {report.accelerators} accelerators",
        f"{'requests':<24}{'offered':>9}{'served':>9}{'in target':>11}",
    ]
    for row in report.rows:
        lines.append(f"{row.kind.value:<24}{row.offered:>9}{row.served:>9}{row.in_target:>11}")
    lines.append(f"attainment: {report.attainment:.2f} requests in target for each accelerator")
    moves = report.loads + report.unloads + report.role_changes
    lines.append(
        f"moves: {moves} ({report.loads} loads, {report.unloads} unloads, "
        f"{report.role_changes} role changes); {report.adapter_loads} adapter loads"
    )
    lines.append(f"orders run by the services: {report.orders_run}")
    refusals = ", ".join(f"{reason} {count}" for reason, count in report.refusals) or "none"
    lines.append(f"refusals by reason: {refusals}")
    lines += [f"VIOLATED: {violation}" for violation in report.violations]
    if not report.violations:
        lines.append("invariants: none violated")
    return "\n".join(lines)
