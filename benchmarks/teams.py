"""Cost of many teams in the decision module, and the starts of urgent tasks.  Not run in CI.

    python benchmarks/teams.py cost       # processor time and memory by number of teams
    python benchmarks/teams.py urgent     # starts at the peak and in an overload, by class and by team

Schedulers and nodes run the real decision code in simulated time (`lab.emulator.placement`).  `cost` measures
only the processor time of the module.  With `urgent --charged` this time passes in the simulation: a
scheduler handles its events one after the other, as on one core.  Otherwise decisions take no time, and a run
depends on its seed alone.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from deep_size import get_deep_size
from load_of_site import NODES, ORDINARY, RUNNING, SCHEDULERS, SETTLING_S, STARTS, TEAMS, URGENT, WITHIN
from load_of_site import Load, add_figures, build_classes, get_percentile

from ladderhub import interface as api
from ladderhub.lab.emulator.net import S
from ladderhub.lab.emulator.placement import JobRecord, Site, SiteSettings

SHARES = (0, 1 / 8, 1 / 4, 1 / 2, 1)  # of the plan's teams; 0 stands for one team, the last is predicted


def build_site(args: argparse.Namespace, teams: int, seed: int, charged: bool = False) -> Site:
    """Build a site with teams of equal share and quota."""
    tenant = api.Tenant(1 / teams, args.starts / teams, args.nodes * args.cores / teams)
    settings = SiteSettings(
        nodes=int(args.nodes), schedulers=int(args.schedulers), classes=build_classes(args.deadline),
        tenants=(tenant,) * teams, cores=args.cores, memory=4 * args.cores, charged=charged,
    )  # fmt: skip
    return Site(settings, seed)


def build_load(args: argparse.Namespace, site: Site, teams: int, times: float, seed: int) -> Load:
    """Build the load of the peak times a factor; only the greedy share of the teams exceeds its quota."""
    greedy_teams = max(1, round(args.greedy * teams))
    extra = (times - 1) * teams / greedy_teams
    weights = list(accumulate(1 + extra if team < greedy_teams else 1.0 for team in range(teams)))
    life_s = args.running / args.starts
    return Load(site, args.starts * times, life_s, teams, seed, args.urgent, args.deadline, weights=weights)


# --- cost -------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of the module with a number of teams."""

    teams: int
    us_a_task: float
    us_a_sweep: float
    sweeps_s: float
    kilobytes: float
    nodes_full: float


def measure_cost(args: argparse.Namespace, teams: int, times: float) -> Cost:
    """Simulate a load and measure the module."""
    site = build_site(args, teams, args.seed, args.charged)
    load = build_load(args, site, teams, times, args.seed)
    load.fill(round(args.running))
    load.run(SETTLING_S)
    before = [(place.spent.get_total_ns(), place.spent.count["TaskAsked"]) for place in site.schedulers]
    sweeps = [(place.spent.ns["Sweep"], place.spent.count["Sweep"]) for place in site.schedulers]
    load.run(args.seconds)
    spent = sum(p.spent.get_total_ns() - b[0] for p, b in zip(site.schedulers, before, strict=True))
    asked = sum(p.spent.count["TaskAsked"] - b[1] for p, b in zip(site.schedulers, before, strict=True))
    sweep_ns = sum(p.spent.ns["Sweep"] - b[0] for p, b in zip(site.schedulers, sweeps, strict=True))
    swept = sum(p.spent.count["Sweep"] - b[1] for p, b in zip(site.schedulers, sweeps, strict=True))
    return Cost(
        teams, spent / asked / 1000, sweep_ns / swept / 1000 if swept else 0.0,
        swept / args.seconds / len(site.schedulers), get_deep_size(site.schedulers[0].module) / 1000,
        site.get_utilization(),
    )  # fmt: skip


def fit_line(points: Iterable[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a line by least squares; return its intercept, slope and largest residual."""
    xs, ys = zip(*points, strict=True)
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    return intercept, slope, max(abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True))


def print_cost(args: argparse.Namespace) -> None:
    """Print the cost by number of teams, and its prediction by a line."""
    for times in args.times:
        rows = [measure_cost(args, max(1, round(share * args.teams)), times) for share in SHARES]
        print(f"{times:g} times the peak, seed {args.seed}, {args.seconds:g} s simulated:")
        for row in rows:
            print(
                f"  {row.teams:>4} teams: {row.us_a_task:8.0f} us of the module a task asked, "
                f"{row.us_a_sweep:9.0f} us a sweep, {row.sweeps_s:5.1f} sweeps a second, "
                f"{row.kilobytes:8.0f} kB, nodes {row.nodes_full:.2f} full"
            )
        for name in ("us_a_task", "us_a_sweep", "kilobytes"):
            points = [(float(row.teams), float(getattr(row, name))) for row in rows]
            intercept, slope, residual = fit_line(points[:-1])
            at, measured = points[-1]
            predicted = intercept + slope * at
            error = abs(predicted - measured) / measured if measured else 0.0
            print(
                f"  {name}: {intercept:.0f} + {slope:.3g} a team, residual {residual:.3g}; "
                f"at {at:.0f} predicted {predicted:.0f}, measured {measured:.0f}, error {error:.0%}"
            )


# --- urgent -----------------------------------------------------------------------------------------------


def print_starts(name: str, records: list[JobRecord], within_s: float) -> None:
    """Print how a group of tasks was placed."""
    starts = [record.start_ns / S for record in records if record.start_ns >= 0]
    if not records:
        return
    refused = sum(record.refused for record in records)
    soon = sum(start <= within_s for start in starts)
    offers = sum(record.offers for record in records)
    print(
        f"  {name:<34} {len(records):>6} asked, served {len(starts) / len(records):6.1%}, "
        f"refused {refused / len(records):6.1%}, within {within_s:g} s {soon / len(records):6.1%}; start "
        f"p50 {get_percentile(starts, 0.5):.3f}, p99 {get_percentile(starts, 0.99):.3f} s; "
        f"{offers / len(records):.2f} offers"
    )


def print_urgent(args: argparse.Namespace) -> None:
    """Simulate each load and print the starts by class and team."""
    teams = round(args.teams)
    for times in args.times:
        site = build_site(args, teams, args.seed, args.charged)
        load = build_load(args, site, teams, times, args.seed)
        load.fill(round(args.running))
        load.run(SETTLING_S)
        first = len(site.records)
        spent = [place.spent.get_total_ns() for place in site.schedulers]
        load.run(args.seconds)
        last = len(site.records)
        used = [place.spent.get_total_ns() - was for place, was in zip(site.schedulers, spent, strict=True)]
        load.run(site.settings.limit_ns / S if times > 1 else SETTLING_S)  # until the last tasks are answered
        records = site.records[first:last]
        greedy_teams = max(1, round(args.greedy * teams))
        print(
            f"{times:g} times the peak, seed {args.seed}, {teams} teams, {args.seconds:g} s simulated; "
            f"module {'charged' if args.charged else 'not charged'}; nodes {site.get_utilization():.2f} full"
            f"; module {max(used) / S / args.seconds:.2f} of a core (most of {len(used)}); longest wait "
            f"of an event {max(place.spent.max_wait_ns for place in site.schedulers) / S:.2f} s"
        )
        for name, klass in (("urgent", URGENT), ("ordinary", ORDINARY)):
            of_class = [record for record in records if record.spec.klass == klass]
            print_starts(f"{name}, all teams", of_class, args.within)
            if times > 1:
                inside = [record for record in of_class if record.spec.tenant >= greedy_teams]
                above = [record for record in of_class if record.spec.tenant < greedy_teams]
                print_starts(f"{name}, teams within quota", inside, args.within)
                print_starts(f"{name}, teams above quota", above, args.within)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=["cost", "urgent"])
    add_figures(parser, {
        "nodes": NODES, "starts": STARTS, "running": RUNNING, "teams": TEAMS, "schedulers": SCHEDULERS,
        "within": WITHIN,
    })  # fmt: skip
    parser.add_argument("--cores", type=float, default=4.0, help="of a node; tasks ask for one on average")
    parser.add_argument("--urgent", type=float, default=0.1, help="share of tasks that are urgent")
    parser.add_argument("--greedy", type=float, default=0.1, help="share of teams that an overload is from")
    parser.add_argument("--deadline", type=float, default=6.0, help="of one ask, in seconds")
    parser.add_argument("--times", type=float, nargs="+", default=[1.0, 1.5], help="of the peak's starts")
    parser.add_argument("--seconds", type=float, default=20.0, help="of simulated time that are measured")
    parser.add_argument("--charged", action="store_true", help="schedulers take the module's time in turn")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    (print_cost if args.what == "cost" else print_urgent)(args)


if __name__ == "__main__":
    main()
