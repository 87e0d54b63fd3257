"""One run: a fleet of one size, brought to its load, measured for a span, and ended."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from functools import partial
from importlib.util import find_spec
from operator import itemgetter
from pathlib import Path

import msgspec

from ladderhub.lab.scale.changes import change_figures, change_moments, times_in_force
from ladderhub.lab.scale.churn import draw_troubles
from ladderhub.lab.scale.fleet import DIRECTORY, HOLLOW_SCHEDULER, NODE_AGENT, ScaleFleet
from ladderhub.lab.scale.hollow_nodes import HostResult
from ladderhub.lab.scale.measure import Reading, read_process, read_scheduler
from ladderhub.lab.scale.plan import Control, Plan, Size
from ladderhub.lab.scale.report import RoleFigures, RunFigures
from ladderhub.lab.scale.roles import client_doors, figures_of_process, mean_of_role
from ladderhub.lab.scale.starts import answers_in, starts_by_class

S, GIB = 1_000_000_000, 1 << 30
CHANGES_MODULE = "ladderhub.cli.policy"
CLIENT_DOOR = "client_door"
CLIENT_KIND = "client"  # as schedulers count the messages of clients
Say = Callable[[str], None]


class RunPlan(msgspec.Struct, frozen=True):
    """What one run is: its size, how long it is measured, and whether a rack is lost in it."""

    name: str
    size: Size
    seconds: float
    seed: int
    lose_a_rack: bool


class Member(msgspec.Struct):
    """One measured process: its role, how many members of the role it hosts, and what was read of it."""

    role: str
    share: int
    reading: Reading


def play(plan: Plan, run: RunPlan, folder: Path, say: Say) -> RunFigures:
    """Play one run and measure it; `ScaleError` where the fleet does not come up or a bound is passed."""
    began_at = datetime.now(UTC).isoformat(timespec="seconds")
    fleet = ScaleFleet(plan, run.size, folder, run.seed)
    try:
        say(f"{run.name}: {run.size.nodes} nodes and {run.size.schedulers} schedulers come up")
        fleet.start()
        fleet.start_load()
        fleet.children.pause(plan.playing.fill_s)
        say(f"{run.name}: measured for {run.seconds:g} s")
        figures = _measure(plan, run, fleet)
        figures.began_at = began_at
        return figures
    finally:
        fleet.close()


def _measure(plan: Plan, run: RunPlan, fleet: ScaleFleet) -> RunFigures:
    before = read_members(fleet)
    since_ns = time.monotonic_ns()
    notes = _pass_the_span(plan, run, fleet)
    until_ns = time.monotonic_ns()
    after = read_members(fleet)
    fleet.children.pause(plan.playing.settle_s)
    sent = fleet.stop_load()
    seen = fleet.stop_nodes()
    fleet.close()
    roles = roles_between(before, after, plan.control)
    notes += crowding(roles, plan.playing.waited_most)
    logs = [scheduler.child.log for scheduler in fleet.schedulers]
    answers = answers_in(logs)
    notes += [f"{count} submissions ended with: {said}" for each in sent for said, count in each.said.items()]
    return RunFigures(
        name=run.name,
        dimensions=run.size,
        seconds=(until_ns - since_ns) / S,
        seed=run.seed,
        roles=roles,
        starts=starts_by_class(plan.load.classes, sent, first_runs(seen), answers, since_ns, until_ns),
        change_in_force_s=change_figures(len(fleet.changes), times_in_force(logs)),
        running=running_at(seen, (since_ns + until_ns) // 2),
        processes=fleet.children.most_processes,
        memory_gib=fleet.children.most_memory_bytes / GIB,
        notes=notes,
    )


def _pass_the_span(plan: Plan, run: RunPlan, fleet: ScaleFleet) -> list[str]:
    """Let the measured span pass with its troubles; what is to be said of it."""
    racks = {node.name: node.rack for node in fleet.nodes}
    troubles = draw_troubles(plan, list(racks), racks, run.seconds, run.seed, run.lose_a_rack)
    moments = change_moments(run.size.changes_per_h, run.seconds, run.seed)
    notes = [f"{len(troubles)} nodes were lost, restarted or replaced"]
    if moments and find_spec(CHANGES_MODULE) is None:
        notes.append(
            "changes of configuration were not played: there is no way to make one without a restart"
        )
        moments = []
    steps: list[tuple[float, Callable[[], None]]] = [
        (trouble.at_s, partial(fleet.trouble, trouble)) for trouble in troubles
    ]
    steps += [(at_s, partial(fleet.change_settings, number)) for number, at_s in enumerate(moments)]
    began = time.monotonic()
    for at_s, step in sorted(steps, key=itemgetter(0)):
        fleet.children.pause(began + at_s - time.monotonic())
        step()
    fleet.children.pause(began + run.seconds - time.monotonic())
    return notes


# --- readings -------------------------------------------------------------------------------------------


def crowding(roles: dict[str, RoleFigures], most: float) -> list[str]:
    """What is to be said of roles whose processes waited for a processor more than they may."""
    return [
        f"{role} waited for a processor {figures.waited:.0%} of the time: its times tell of the machine"
        for role, figures in roles.items()
        if figures.waited is not None and figures.waited > most
    ]


def read_members(fleet: ScaleFleet) -> dict[int, Member]:
    """Each measured process by its id."""
    members = {}
    for scheduler in fleet.schedulers:
        child = scheduler.child
        members[child.pid] = Member(child.role, 1, read_scheduler(child.pid, scheduler.http))
    for child in fleet.children.of(DIRECTORY):
        members[child.pid] = Member(DIRECTORY, 1, read_process(child.pid, fleet.counted_by_directory()))
    for host in fleet.hosts:
        reading = read_process(host.child.pid, fleet.counted_by_nodes(host))
        members[host.child.pid] = Member(NODE_AGENT, host.share, reading)
    for hollow in fleet.hollow:
        members[hollow.child.pid] = Member(HOLLOW_SCHEDULER, hollow.share, read_process(hollow.child.pid))
    return members


def roles_between(
    before: dict[int, Member], after: dict[int, Member], control: Control
) -> dict[str, RoleFigures]:
    """The figures of each role over the span between two readings."""
    by_role: dict[str, list[RoleFigures]] = {}
    doors: list[tuple[RoleFigures, float]] = []
    for pid, earlier in before.items():
        later = after[pid]
        figures = figures_of_process(earlier.reading, later.reading, control, earlier.share)
        by_role.setdefault(earlier.role, []).append(figures)
        if later.reading.connections is not None:
            doors.append((figures, later.reading.connections))
    roles = {role: mean_of_role(members) for role, members in by_role.items()}
    if doors:
        schedulers, connections = zip(*doors, strict=True)
        roles[CLIENT_DOOR] = client_doors(schedulers, connections, CLIENT_KIND)
    return roles


# --- what the nodes saw ---------------------------------------------------------------------------------


def first_runs(seen: Sequence[HostResult]) -> dict[str, int]:
    """When each job first ran anywhere."""
    ran: dict[str, int] = {}
    for host in seen:
        for job, ran_ns in host.ran.items():
            ran[job] = min(ran_ns, ran.get(job, ran_ns))
    return ran


def running_at(seen: Sequence[HostResult], moment_ns: int) -> float:
    """How many jobs ran at a moment."""
    running = 0
    for host in seen:
        began = {job for job, ran_ns in host.ran.items() if ran_ns <= moment_ns}
        running += len(began)
        running -= sum(job in began and ended_ns <= moment_ns for job, ended_ns in host.ended.items())
    return float(running)
