"""Bytes for each row of the roles' state: `python benchmarks/rows.py [--nodes N] [--members N]`.

Not run in CI.  Builds each table with N rows and with twice as many, from the real classes, and divides the
difference of their deep sizes by N.  Shared constants are counted once, as in a process.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable

from deep_size import get_deep_size
from load_of_site import NODES, TEAMS, Figure, add_figures

from ladderhub import interface as api
from ladderhub.decide import Scheduler
from ladderhub.directory.wire import Entry
from ladderhub.lab.emulator.membership import Fleet
from ladderhub.lab.emulator.net import S
from ladderhub.membership.messages import LeaseRequest
from ladderhub.membership.slots import encode_slots
from ladderhub.membership.types import LeaseSettings
from ladderhub.membership.voter import LeaseVoter
from ladderhub.node.admission import Admission, Offer, NodeSettings

MEMBERS = Figure("size.schedulers", "schedulers, real and hollow")
TASK_CLASS = api.TaskClass(api.Effect.SAFE, S, 6 * S)
MACHINE_KIND = api.MachineKind(16, 32)


def build_scheduler_with_nodes(count: int) -> object:
    """Build a scheduler that knows these nodes."""
    settings = api.Settings((TASK_CLASS,), (MACHINE_KIND,), list_shows_room=True)
    scheduler = Scheduler(settings, 1)
    rows = tuple(
        api.MachineEntry(f"node-{at:05d}", api.Stage.SERVING, 0, at % 4, at // 24, 0, 8.0 + at % 7, 9.0)
        for at in range(count)
    )
    scheduler.handle(S, api.MachineList(api.ListKind.FULL, 1, rows))
    return scheduler


def build_scheduler_with_teams(count: int) -> object:
    """Build a scheduler with these teams."""
    tenants = tuple(api.Tenant(1.0 + at, 1.5 + at, 40.0 + at) for at in range(count))
    return Scheduler(api.Settings((TASK_CLASS,), (MACHINE_KIND,), tenants), 1)


def build_scheduler_with_tasks(count: int) -> object:
    """Build a scheduler with running tasks on a hundred nodes."""
    settings = api.Settings((TASK_CLASS,), (MACHINE_KIND,), list_shows_room=True)
    scheduler = Scheduler(settings, 1)
    for at in range(count):
        asked = api.TaskAsked(at, f"{at}.alpha", 0, f"service-{at % 500}", 0.5, 1.0, 6 * S, at % 230)
        scheduler.handle(S + at, api.TaskOpen(asked, f"node-{at % 100}"))
    return scheduler


def build_member_view(count: int) -> object:
    """Build the membership view of a fleet."""
    fleet = Fleet(count, 1, warm=True)
    return fleet.hosts[0].view


def build_voter_with_grants(count: int) -> object:
    """Build a lease voter that has granted these leases."""
    settings = LeaseSettings("alpha", 1, "10.0.0.1:1", 4096, ("10.0.0.1:1",), 8 * S, 2 * S)
    voter = LeaseVoter(settings, 0)
    for at in range(count):
        request = LeaseRequest(1, encode_slots({at}, 4096), f"10.0.{at // 250}.{at % 250}:1", False)
        voter.handle_request(20 * S, (f"scheduler-{at}", 10**18 + at), request)
    return voter


def build_directory_entries(count: int) -> object:
    """Build the directory's entries of nodes."""
    rng = random.Random(1)
    return {
        f"node-{at:05d}": Entry(
            f"node-{at:05d}", f"10.1.{at // 250}.{at % 250}:15002", f"kind-{at % 2}", f"rack-{at // 24}",
            f"zone-{at % 4}", 10**18 + at, "serving", rng.random(), rng.random(),
        )
        for at in range(count)
    }  # fmt: skip


def build_node_with_tasks(count: int) -> object:
    """Build a node's admission with admitted tasks."""
    admission = Admission(NodeSettings(10.0**6, 10.0**6, max_queued_offers=10**6), 0)
    for at in range(count):
        admission.enqueue(0, Offer((f"{at}.alpha", 1), f"service-{at}", 0.5, 1.0, "web", "team"))
        admission.begin_evaluation()
        admission.finish_evaluation(0)
    return admission


def measure_bytes_per_row(build: Callable[[int], object], rows: int) -> float:
    """Return the bytes that each further row adds."""
    return (get_deep_size(build(2 * rows)) - get_deep_size(build(rows))) / rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    add_figures(parser, {"nodes": NODES, "members": MEMBERS, "teams": TEAMS})
    args = parser.parse_args()
    nodes, members, teams = round(args.nodes), round(args.members), round(args.teams)
    for name, build, rows in (
        ("module: a node listed", build_scheduler_with_nodes, nodes),
        ("module: a task that runs", build_scheduler_with_tasks, nodes),
        ("module: a team", build_scheduler_with_teams, teams),
        ("membership: a member", build_member_view, members),
        ("voter: a lease granted", build_voter_with_grants, members),
        ("directory: a node", build_directory_entries, nodes),
        ("node agent: a task admitted", build_node_with_tasks, nodes),
    ):
        print(f"{name}: {measure_bytes_per_row(build, rows):.0f} bytes a row, from {rows} to {2 * rows} rows")


if __name__ == "__main__":
    main()
