"""`ladderhub lab`: test runs with scripted faults, checks of recordings, load measurements."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol

import click


@click.group()
def lab() -> None:
    """Run the laboratory: scripted fault days, recordings, load."""


def _run_scenario(name: str, seed: int, folder: Path | None) -> None:
    from ladderhub.lab.day import Day, load_scenario

    try:
        plan = load_scenario(name)
    except ValueError as fault:
        raise click.UsageError(str(fault)) from None
    click.echo(f"{plan.name}: {plan.about}; {plan.schedulers} schedulers, {plan.nodes} nodes, seed {seed}")
    day = Day(plan, seed, folder)
    outcome = day.run(click.echo)
    for line in outcome.verdict.lines():
        click.echo(line)
    for trouble in day.troubles[:5]:
        click.echo(f"trouble in the laboratory: {trouble}", err=True)
    unanswered = sum(job not in outcome.told for job in day.jobs)
    click.echo(
        f"{outcome.submitted} submitted, {outcome.acknowledged} acknowledged, {unanswered} not told by qstat"
    )
    sys.exit(0 if outcome.verdict.is_good() and not outcome.verdict.parse_errors else 1)


_SEED = click.option("--seed", default=1, show_default=True)
_FOLDER = click.option("--folder", type=click.Path(path_type=Path), help="Keep recording and logs here.")


@lab.command("bad-day")
@_SEED
@_FOLDER
def bad_day(seed: int, folder: Path | None) -> None:
    """Run the scenario bad-day and check the five rules on the recorded bytes."""
    _run_scenario("bad-day", seed, folder)


@lab.command()
@click.argument("kind")
@_SEED
@_FOLDER
def replay(kind: str, seed: int, folder: Path | None) -> None:
    """Run the scenario KIND on real schedulers and check the rules on the recorded bytes."""
    _run_scenario(kind, seed, folder)


@lab.command()
@click.argument("what", type=click.Choice(["views", "revisions"]))
@click.option("--schedulers", default=230, show_default=True, type=click.IntRange(4, 4096))
@click.option(
    "--seconds", type=click.IntRange(10), help="Simulated time.  [default: 3600 of views, 60 of revisions]"
)
@click.option("--seats", is_flag=True, help="Views: lease slots too, by five voters.")
@click.option("--rate", default=1.0, show_default=True, help="Revisions: changes a second.")
@click.option("--calm", is_flag=True, help="Revisions: loss alone, no pauses, crashes and cuts.")
@click.option("--loss", default=0.1, show_default=True, type=click.FloatRange(0, 0.9))
@_SEED
def emulate(
    what: str,
    schedulers: int,
    seconds: int | None,
    seats: bool,
    rate: float,
    calm: bool,
    loss: float,
    seed: int,
) -> None:
    """Simulate the pure modules of many schedulers, with loss, pauses and crashes, in simulated time.

    `views` runs membership.  `revisions` changes the configuration at a rate, and ten times within the last
    second."""
    from ladderhub.lab.emulator.membership import Verdict, simulate_membership
    from ladderhub.lab.emulator.revision_judge import RevisionVerdict
    from ladderhub.lab.emulator.revisions import simulate_changes

    verdict: Verdict | RevisionVerdict
    if what == "views":
        verdict = simulate_membership(schedulers, seed, seconds or 3600, loss, seats)
    else:
        verdict = simulate_changes(schedulers, seed, seconds or 60, rate, loss, calm)
    for line in verdict.lines():
        click.echo(line)
    click.echo("judged good" if verdict.is_good() else "judged bad")
    sys.exit(0 if verdict.is_good() else 1)


@lab.command()
@click.argument("what", type=click.Choice(["seats", "ballots"]))
@click.option(
    "--depth", default=6, show_default=True, type=click.IntRange(1), help="Seats: steps with faults."
)
@click.option(
    "--faults", default=2, show_default=True, type=click.IntRange(0), help="Seats: at most so many."
)
@click.option(
    "--states", default=500_000, show_default=True, type=click.IntRange(1), help="Ballots: of each search."
)
@click.option("--random", "schedules", default=10_000, show_default=True, help="Random schedules after it.")
@_SEED
def check(what: str, depth: int, faults: int, states: int, schedules: int, seed: int) -> None:
    """Check the lease decisions under every schedule of few faults, or the ballot decisions under every order
    of messages within bounds; then check them under many random schedules."""
    any_broken = False
    for name, result in _run_searches(what, depth, faults, states, schedules, seed):
        for line in result.lines():
            click.echo(f"{name}: {line}")
        any_broken = any_broken or bool(result.violation)
    click.echo("judged bad" if any_broken else "judged good")
    sys.exit(1 if any_broken else 0)


class _SearchResult(Protocol):
    violation: str

    def lines(self) -> Iterator[str]: ...


def _run_searches(
    what: str, depth: int, faults: int, states: int, schedules: int, seed: int
) -> Iterator[tuple[str, _SearchResult]]:
    """Yields the name and result of each search; a search runs when its result is requested."""
    if what == "seats":
        from ladderhub.lab.checker import leases

        yield "exhaustive", leases.check_exhaustively(depth, faults=faults)
        yield "random", leases.check_randomly(schedules, seed)
        return
    from ladderhub.lab.checker import ballots
    from ladderhub.lab.checker import schedules as whole_schedulers

    for bounds in ballots.get_search_bounds(states):
        yield f"exhaustive, {bounds}", ballots.check_exhaustively(bounds)
    yield "random ballots", ballots.check_randomly(schedules, seed)
    yield "random, whole schedulers", whole_schedulers.check_randomly(schedules // 50, seed)


@lab.command()
@click.option("--day", "name", default="drawn", show_default=True, help="By name; `all`: of membership, all.")
@click.option("--schedulers", default=16, show_default=True, type=click.IntRange(2, 64))
@click.option("--hollow", default=0, show_default=True, help="Hollow schedulers beside them, of changes.")
@_SEED
@_FOLDER
def mesh(name: str, schedulers: int, hollow: int, seed: int, folder: Path | None) -> None:
    """Run fault days on real schedulers with a faulty network between them and check their views; on the days
    `changes` and `few-changes`, check the revisions of the configuration."""
    import tempfile

    from ladderhub.lab.mesh.change_days import CHANGE_DAYS, draw_change_day
    from ladderhub.lab.mesh.changes import run_changes
    from ladderhub.lab.mesh.days import DAYS, draw_day
    from ladderhub.lab.mesh.fleet import run_day
    from ladderhub.lab.mesh.judge import Verdict
    from ladderhub.lab.mesh.revision_judge import RevisionVerdict

    try:
        if name in CHANGE_DAYS:
            days = [draw_change_day(name, schedulers, seed)]
        else:
            days = [draw_day(each, schedulers, seed) for each in (DAYS if name == "all" else [name])]
    except ValueError as fault:
        raise click.UsageError(str(fault)) from None
    failed_days = []
    for day in (each for each in days if each.can_run_processes):
        with tempfile.TemporaryDirectory() as scratch:
            run_folder = (folder / day.name) if folder is not None else Path(scratch)
            run_folder.mkdir(parents=True, exist_ok=True)
            verdict: Verdict | RevisionVerdict = (
                run_changes(day, run_folder, schedulers, seed, hollow=hollow)
                if name in CHANGE_DAYS
                else run_day(day, run_folder, schedulers, seed)
            )
        click.echo(f"{day.name}: {day.description}; {schedulers} schedulers, seed {seed}")
        for line in verdict.lines():
            click.echo(f"  {line}")
        if not verdict.is_good():
            failed_days.append(day.name)
    click.echo(f"judged bad: {', '.join(failed_days)}" if failed_days else "all days judged good")
    sys.exit(1 if failed_days else 0)


@lab.command()
@click.option("--nodes", default=90, show_default=True)
@click.option("--rate", default=180.0, show_default=True, help="Jobs a second.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--jobs", default=10_000, show_default=True, help="Held jobs for memory and qstat; 0 for none.")
def load(nodes: int, rate: float, seconds: float, jobs: int) -> None:
    """Measure one daemon: job rate, added delay, memory for each job, qstat, and the start time of qsub."""
    from ladderhub.lab.load import LoadTest, measure_held_jobs, measure_start_times

    bench = LoadTest(nodes)
    try:
        stats = bench.run(rate, seconds)
    finally:
        bench.close()
    click.echo(f"{os.cpu_count()} cores here; {nodes} emulated nodes, {rate:g} jobs/s for {seconds:g} s")
    click.echo(
        f"submitted {stats.submitted}: {stats.placed} placed, {stats.refused} refused, {stats.failed} failed"
    )
    click.echo(f"daemon used {stats.cores:.2f} of one core")
    for name, values in (
        ("submit to acknowledged", stats.commit_ms), ("submit to offer at the node", stats.added_ms),
        ("submit to running", stats.start_ms),
    ):  # fmt: skip
        click.echo(f"{name:<28} ms at p50/p99/p99.9: {' / '.join(map(str, values))}")
    qsub, bare = measure_start_times()
    click.echo(
        f"qsub starts in {qsub / bare:.2f} times a bare interpreter ({qsub * 1000:.0f}, {bare * 1000:.0f} ms)"
    )
    if jobs:
        memory = measure_held_jobs(jobs)
        click.echo(f"{memory.jobs} held jobs: {memory.bytes_a_job} bytes each")
        click.echo(f"qstat {memory.qstat_s:.2f} s, qstat -f {memory.qstat_full_s:.2f} s")
        click.echo(f"a small request waits at most {memory.held_up_ms:.0f} ms while all jobs are asked for")


@lab.command()
@click.option("--copies", default=200, show_default=True)
@click.option("--calm", is_flag=True, help="Without faults: how close the length comes to what limits allow.")
@_SEED
@_FOLDER
def updates(copies: int, calm: bool, seed: int, folder: Path | None) -> None:
    """Update three services at once on real sockets, with faults; check limits on the recorded bytes."""
    from ladderhub.lab.updates import run_updates

    result = run_updates(copies, seed, not calm, click.echo, folder)
    for line in [*result.limits.lines(), *result.rules.lines()]:
        click.echo(line)
    click.echo(f"{result.seconds:.1f} s; limits, starts and health allow {result.bound_s:.1f} s at best")
    click.echo(f"updates that came to their end: {', '.join(result.ended) or 'none'}")
    sys.exit(0 if result.is_good() else 1)


@lab.command()
@click.option("--count", default=1000, show_default=True)
@_SEED
@_FOLDER
def submits(count: int, seed: int, folder: Path | None) -> None:
    """Submit with real qsub processes to flaky nodes; count answers from the recording and from qstat."""
    from ladderhub.lab.load import run_submissions

    result = run_submissions(count, seed, click.echo, keep=folder)
    click.echo(f"acknowledged {result.acknowledged}, commands that failed {result.failed_commands}")
    click.echo(f"by the recording: {result.by_recording}")
    click.echo(f"by qstat:         {result.by_qstat}")
    for line in result.verdict.lines():
        click.echo(line)
    click.echo("the two agree" if result.agree else "the two do NOT agree")
    sys.exit(0 if result.agree and result.verdict.is_good() else 1)


@lab.command()
@click.option(
    "--plan", type=click.Path(exists=True, dir_okay=False, path_type=Path), help="A plan of its own."
)
@click.option("--schedulers", type=click.IntRange(1), help="Real ones.")
@click.option("--hollow-schedulers", type=click.IntRange(0))
@click.option("--nodes", type=click.IntRange(1))
@click.option("--starts", type=click.FloatRange(0, min_open=True), help="Task starts a second.")
@click.option("--running", type=click.IntRange(1), help="Tasks that run at a time.")
@click.option("--teams", type=click.IntRange(1))
@click.option(
    "--changes", type=click.FloatRange(0), help="Changes of configuration an hour, before the speed-up."
)
@click.option("--seconds", type=click.FloatRange(1), help="Length of each measured span.")
@click.option("--seed", type=int)
@click.option("--speedup", type=click.FloatRange(0, min_open=True), help="Of the day's troubles and changes.")
@click.option("--slopes/--no-slopes", default=True, show_default=True, help="Whether slopes are taken first.")
@click.option(
    "--stage", type=click.Choice(["slopes", "predict", "full", "all"]), default="all", show_default=True
)
@click.option("--predict", type=click.Path(path_type=Path), help="Where the prediction is written, or read.")
@click.option("--json", "report", type=click.Path(path_type=Path), help="Write all figures to this file.")
@_FOLDER
def scale(
    plan: Path | None, schedulers: int | None, hollow_schedulers: int | None, nodes: int | None,
    starts: float | None, running: int | None, teams: int | None, changes: float | None,
    seconds: float | None, seed: int | None, speedup: float | None, slopes: bool, stage: str,
    predict: Path | None, report: Path | None, folder: Path | None,
) -> None:  # fmt: skip
    """Run the planned size with real and hollow processes; exit status 0 where every budget holds.

    Sizes come from the plan's file; options override it.  Stages keep their figures in --folder."""
    import tempfile

    from ladderhub.cli.common import fail
    from ladderhub.errors import LadderhubError
    from ladderhub.lab.scale.command import Options, run_scale
    from ladderhub.lab.scale.plan import Overrides

    given = Overrides(
        schedulers, hollow_schedulers, nodes, starts, running, teams, changes, seconds, seed, speedup
    )
    with tempfile.TemporaryDirectory(prefix="ladderhub-scale-") as scratch:
        run_folder = folder if folder is not None else Path(scratch)
        try:
            good = run_scale(Options(run_folder, stage, slopes, plan, report, predict, given), click.echo)
        except LadderhubError as fault:
            fail(fault, "ladderhub lab scale")
    sys.exit(0 if good else 1)
