"""Simulates the share of gangs that are placed partially if they are sent as single jobs.  Not run in CI.

    python benchmarks/gangs.py [--sizes 8 32 128] [--full 0.7 0.85] [--cores 1 4] [--seeds 1 2 3]

A site is filled with single jobs to a given share of its cores and kept at it.  Then gangs are sent one after
the other, each as single jobs to one scheduler at the same time, with lives longer than their limit.  A job
is retried within its limit, as `serve` does by default.  When all of a gang runs, or at the limit, it is
counted as whole, partial or not placed, and then cancelled.  The real decision module runs in simulated time;
it has no mechanism for gangs.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass, field

from load_of_site import NODES, ORDINARY, SCHEDULERS, SETTLING_S, STARTS
from load_of_site import Load, add_figures, build_classes, get_percentile

from ladderhub.lab.emulator.net import S
from ladderhub.lab.emulator.placement import JobRecord, Site, SiteSettings, TaskSpec

Z_95 = 1.96
DEADLINE_S = 6.0
STEP_S = 0.5


def get_wilson_interval(hits: int, tries: int) -> tuple[float, float]:
    """Return the 95 % confidence interval of a share (Wilson 1927)."""
    if not tries:
        return 0.0, 1.0
    share, square = hits / tries, Z_95**2
    middle = share + square / (2 * tries)
    width = Z_95 * (share * (1 - share) / tries + square / (4 * tries**2)) ** 0.5
    return (middle - width) / (1 + square / tries), (middle + width) / (1 + square / tries)


@dataclass(frozen=True, slots=True)
class GangResults:
    """Results of one simulation.

    For each gang the jobs placed at the limit, and for each whole gang the seconds from first to last start.
    """

    placed: list[int] = field(default_factory=list)
    skew_s: list[float] = field(default_factory=list)
    full: list[float] = field(default_factory=list)  # share of cores in use when each gang was sent


def simulate(args: argparse.Namespace, size: int, full: float, cores: float, seed: int) -> GangResults:
    settings = SiteSettings(
        nodes=int(args.nodes), schedulers=int(args.schedulers), classes=build_classes(DEADLINE_S),
        cores=args.node_cores, memory=4 * args.node_cores,
    )  # fmt: skip
    site = Site(settings, seed)
    running = round(full * args.nodes * args.node_cores)  # jobs ask for one core on average
    load = Load(site, args.starts, running / args.starts, 1, seed, urgent=0.0)
    load.fill(running)
    load.run(SETTLING_S)
    results = GangResults()
    for number in range(args.gangs):
        results.full.append(site.get_utilization())
        gang = send_gang(site, load, number, size, cores)
        while is_open(gang):
            load.run(STEP_S)
        starts = [record.start_ns / S for record in gang if record.start_ns >= 0]
        results.placed.append(len(starts))
        if len(starts) == size:
            results.skew_s.append(max(starts) - min(starts))
        for record in gang:
            site.cancel(record)
        load.run(args.apart)
    return results


def send_gang(site: Site, load: Load, number: int, size: int, cores: float) -> list[JobRecord]:
    """Submit all jobs of a gang to one scheduler at once."""
    life_ns = 2 * site.settings.limit_ns
    work = TaskSpec(ORDINARY, 0, f"gang-{number}", cores, 2 * cores, life_ns, round(DEADLINE_S * S))
    place = load.random.choice(site.schedulers)
    return [site.ask(place, work) for _ in range(size)]


def is_open(gang: list[JobRecord]) -> bool:
    """Report whether any job of the gang neither runs nor was finally refused."""
    return any(record.start_ns < 0 and not record.refused for record in gang)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    add_figures(parser, {"nodes": NODES, "starts": STARTS, "schedulers": SCHEDULERS})
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 32, 128], help="jobs of a gang")
    parser.add_argument("--full", type=float, nargs="+", default=[0.7, 0.85], help="share of cores in use")
    parser.add_argument("--cores", type=float, nargs="+", default=[1.0, 4.0], help="of each job of a gang")
    parser.add_argument("--node-cores", type=float, default=4.0)
    parser.add_argument("--gangs", type=int, default=4, help="of each play, one after the other")
    parser.add_argument("--apart", type=float, default=4.0, help="seconds between two gangs")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    args = parser.parse_args()
    for cores in args.cores:
        for full in args.full:
            for size in args.sizes:
                results = [simulate(args, size, full, cores, seed) for seed in args.seeds]
                placed = [count for each in results for count in each.placed]
                skew = [span for each in results for span in each.skew_s]
                part = sum(0 < count < size for count in placed)
                none = sum(count == 0 for count in placed)
                low, high = get_wilson_interval(part, len(placed))
                share = sum(placed) / len(placed) / size
                fills = [full for each in results for full in each.full]
                print(
                    f"{size:>4} jobs of {cores:g} cores at {full:.0%} (found "
                    f"{sum(fills) / len(fills):.0%} as gangs came): "
                    f"{part} of {len(placed)} gangs in part = {part / len(placed):.0%} ({low:.0%} to "
                    f"{high:.0%}), {none} not at all, {share:.0%} of jobs placed; whole ones first to last "
                    f"start p50 {get_percentile(skew, 0.5):.2f}, "
                    f"most {max(skew, default=float('nan')):.2f} s",
                    flush=True,
                )


if __name__ == "__main__":
    main()
