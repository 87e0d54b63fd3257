"""Executes one run: starts a fleet of a given size, applies the load, measures it, and stops it."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from functools import partial
from importlib.util import find_spec
from operator import itemgetter
from pathlib import Path

import msgspec

from ladderhub.lab.scale.changes import compute_activation_times, compute_change_figures, draw_change_times
from ladderhub.lab.scale.churn import draw_churn_events
from ladderhub.lab.scale.fleet import DIRECTORY, HOLLOW_SCHEDULER, NODE_AGENT, ScaleFleet
from ladderhub.lab.scale.hollow_nodes import HostResult
from ladderhub.lab.scale.measure import Reading, read_process, read_scheduler
from ladderhub.lab.scale.plan import Control, Plan, Size
from ladderhub.lab.scale.report import RoleFigures, RunFigures
from ladderhub.lab.scale.roles import compute_client_door_figures, compute_process_figures, compute_role_mean
from ladderhub.lab.scale.starts import compute_start_figures, read_answers

S, GIB = 1_000_000_000, 1 << 30
CHANGES_MODULE = "ladderhub.cli.policy"
CLIENT_DOOR = "client_door"
CLIENT_KIND = "client"  # kind under which schedulers count the messages of clients
PrintLine = Callable[[str], None]


class RunPlan(msgspec.Struct, frozen=True):
    """Describes one run: its size, the measured duration, and whether a rack fails during it."""

    name: str
    size: Size
    seconds: float
    seed: int
    lose_a_rack: bool


class MeasuredProcess(msgspec.Struct):
    """One measured process: its role, the number of members that it hosts (`share`), and a reading."""

    role: str
    share: int
    reading: Reading


def execute_run(plan: Plan, run: RunPlan, folder: Path, print_line: PrintLine) -> RunFigures:
    """Execute and measure one run.  Raises `ScaleError` if the fleet does not start or exceeds a limit."""
    began_at = datetime.now(UTC).isoformat(timespec="seconds")
    fleet = ScaleFleet(plan, run.size, folder, run.seed)
    try:
        print_line(f"{run.name}: {run.size.nodes} nodes and {run.size.schedulers} schedulers come up")
        fleet.start()
        fleet.start_load()
        fleet.children.sleep(plan.playing.fill_s)
        print_line(f"{run.name}: measured for {run.seconds:g} s")
        figures = _measure_run(plan, run, fleet)
        figures.began_at = began_at
        return figures
    finally:
        fleet.close()


def _measure_run(plan: Plan, run: RunPlan, fleet: ScaleFleet) -> RunFigures:
    before = read_processes(fleet)
    since_ns = time.monotonic_ns()
    notes = _run_measured_span(plan, run, fleet)
    until_ns = time.monotonic_ns()
    after = read_processes(fleet)
    fleet.children.sleep(plan.playing.settle_s)
    loads = fleet.stop_load()
    host_results = fleet.stop_nodes()
    fleet.close()
    roles = compute_role_figures(before, after, plan.control)
    notes += describe_cpu_contention(roles, plan.playing.waited_most)
    logs = [scheduler.child.log for scheduler in fleet.schedulers]
    answers = read_answers(logs)
    notes += [
        f"{count} submissions ended with: {answer}"
        for result in loads
        for answer, count in result.said.items()
    ]
    return RunFigures(
        name=run.name,
        dimensions=run.size,
        seconds=(until_ns - since_ns) / S,
        seed=run.seed,
        roles=roles,
        starts=compute_start_figures(
            plan.load.classes, loads, find_first_starts(host_results), answers, since_ns, until_ns
        ),
        change_in_force_s=compute_change_figures(len(fleet.changes), compute_activation_times(logs)),
        running=count_running_jobs(host_results, (since_ns + until_ns) // 2),
        processes=fleet.children.peak_processes,
        memory_gib=fleet.children.peak_memory_bytes / GIB,
        notes=notes,
    )


def _run_measured_span(plan: Plan, run: RunPlan, fleet: ScaleFleet) -> list[str]:
    """Wait for the measured span while applying churn and configuration changes; return notes on the run."""
    racks = {node.name: node.rack for node in fleet.nodes}
    events = draw_churn_events(plan, list(racks), racks, run.seconds, run.seed, run.lose_a_rack)
    change_times = draw_change_times(run.size.changes_per_h, run.seconds, run.seed)
    notes = [f"{len(events)} nodes were lost, restarted or replaced"]
    if change_times and find_spec(CHANGES_MODULE) is None:
        notes.append(
            "changes of configuration were not played: there is no way to make one without a restart"
        )
        change_times = []
    actions: list[tuple[float, Callable[[], None]]] = [
        (event.at_s, partial(fleet.apply_churn_event, event)) for event in events
    ]
    actions += [(at_s, partial(fleet.change_settings, number)) for number, at_s in enumerate(change_times)]
    started = time.monotonic()
    for at_s, action in sorted(actions, key=itemgetter(0)):
        fleet.children.sleep(started + at_s - time.monotonic())
        action()
    fleet.children.sleep(started + run.seconds - time.monotonic())
    return notes


# --- readings -------------------------------------------------------------------------------------------


def describe_cpu_contention(roles: dict[str, RoleFigures], limit: float) -> list[str]:
    """Return a note for each role whose processes waited for a processor longer than the limit."""
    return [
        f"{role} waited for a processor {figures.waited:.0%} of the time: its times tell of the machine"
        for role, figures in roles.items()
        if figures.waited is not None and figures.waited > limit
    ]


def read_processes(fleet: ScaleFleet) -> dict[int, MeasuredProcess]:
    """Read all measured processes, by process id."""
    processes = {}
    for scheduler in fleet.schedulers:
        child = scheduler.child
        processes[child.pid] = MeasuredProcess(child.role, 1, read_scheduler(child.pid, scheduler.http))
    for child in fleet.children.list_by_role(DIRECTORY):
        processes[child.pid] = MeasuredProcess(
            DIRECTORY, 1, read_process(child.pid, fleet.read_directory_counters())
        )
    for host in fleet.hosts:
        reading = read_process(host.child.pid, fleet.read_node_counters(host))
        processes[host.child.pid] = MeasuredProcess(NODE_AGENT, host.share, reading)
    for hollow in fleet.hollow:
        processes[hollow.child.pid] = MeasuredProcess(
            HOLLOW_SCHEDULER, hollow.share, read_process(hollow.child.pid)
        )
    return processes


def compute_role_figures(
    before: dict[int, MeasuredProcess], after: dict[int, MeasuredProcess], control: Control
) -> dict[str, RoleFigures]:
    """Compute the figures of each role over the span between two readings."""
    by_role: dict[str, list[RoleFigures]] = {}
    client_doors: list[tuple[RoleFigures, float]] = []
    for pid, earlier in before.items():
        later = after[pid]
        figures = compute_process_figures(earlier.reading, later.reading, control, earlier.share)
        by_role.setdefault(earlier.role, []).append(figures)
        if later.reading.connections is not None:
            client_doors.append((figures, later.reading.connections))
    roles = {role: compute_role_mean(processes) for role, processes in by_role.items()}
    if client_doors:
        schedulers, connections = zip(*client_doors, strict=True)
        roles[CLIENT_DOOR] = compute_client_door_figures(schedulers, connections, CLIENT_KIND)
    return roles


# --- results of the nodes -------------------------------------------------------------------------------


def find_first_starts(host_results: Sequence[HostResult]) -> dict[str, int]:
    """Return when each job first ran on any node."""
    ran: dict[str, int] = {}
    for host in host_results:
        for job, ran_ns in host.ran.items():
            ran[job] = min(ran_ns, ran.get(job, ran_ns))
    return ran


def count_running_jobs(host_results: Sequence[HostResult], moment_ns: int) -> float:
    """Return the number of jobs that were running at `moment_ns`."""
    running = 0
    for host in host_results:
        started = {job for job, ran_ns in host.ran.items() if ran_ns <= moment_ns}
        running += len(started)
        running -= sum(job in started and ended_ns <= moment_ns for job, ended_ns in host.ended.items())
    return float(running)
