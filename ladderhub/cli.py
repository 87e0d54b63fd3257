"""The `ladderhub` command: the daemon, a node, the directory, the demo, the checker and the laboratory."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
from pathlib import Path
from typing import Any

import click
import msgspec
import structlog

from ladderhub import __version__
from ladderhub.cli_rollout import rollout
from ladderhub.loop import Loop

_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def _encode(row: object, **_: object) -> bytes:
    return msgspec.json.encode(row, enc_hook=repr)


def set_up_log(form: str, level: str) -> Any:
    """Structured lines on standard error, as JSON or for people."""
    last: Any = structlog.dev.ConsoleRenderer()
    factory: Any = structlog.PrintLoggerFactory(sys.stderr)
    if form == "json":
        # Bytes straight from the encoder: at hundreds of jobs a second log lines are a cost that shows.
        last = structlog.processors.JSONRenderer(serializer=_encode)
        factory = structlog.BytesLoggerFactory(sys.stderr.buffer)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()


def make_loop(log: Any) -> Loop:
    return Loop(trouble=lambda where, fault: log.error("trouble", where=where, exc_info=fault))


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Schedule long-lived tasks on the machines of a cluster."""


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check a settings FILE without starting anything."""
    settings = _load(file)
    click.echo(f"{file}: good: {len(settings.queue_names)} queues, {len(settings.kind_names)} kinds of node")


def _load(file: Path) -> Any:
    from ladderhub.server.settings import SettingsError, load

    try:
        return load(file)
    except SettingsError as fault:
        click.echo(f"ladderhub: {fault}", err=True)
        sys.exit(2)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def serve(file: Path) -> None:
    """Run one scheduler daemon with the settings in FILE.  SIGTERM settles what was taken, then ends it."""
    from ladderhub.loop.http import HttpDoor
    from ladderhub.server.daemon import Daemon

    settings = _load(file)
    log = set_up_log(settings.file.log.format, settings.file.log.level)
    loop = make_loop(log)
    try:
        daemon = Daemon(loop, settings, log)
        count = daemon.metrics

        def trouble(where: str, fault: BaseException) -> None:
            count.troubles += 1
            log.error("trouble", where=where, exc_info=fault)

        loop.trouble = trouble
        daemon.start()
        if settings.http is not None:
            HttpDoor(loop, settings.http, {
                "/metrics": daemon.metrics.page,
                "/health": lambda: (503, "text/plain", b"stopping\n") if daemon.stopping
                else (200, "text/plain", b"ok\n"),
            })  # fmt: skip
    except (OSError, ValueError) as fault:
        click.echo(f"ladderhub: {file}: cannot start: {fault}", err=True)
        sys.exit(1)
    # What was loaded until now stays for good: the collector need not look at it again, and what a burst of
    # jobs leaves behind is looked through seldom, since one look through all of it holds everybody up.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    daemon.on_end = loop.stop
    loop.on_signal(signal.SIGTERM, daemon.shut)
    loop.on_signal(signal.SIGINT, daemon.shut)
    loop.run()


@main.command("platform")
def on_platform() -> None:
    """Run one scheduler on the users' platform, as PROXY_CONFIG, PROXY_LISTEN and PROXY_NAME tell it."""
    from ladderhub.platform.service import main as run

    run()


def _address(context: click.Context, option: click.Parameter, text: str) -> tuple[str, int]:
    from ladderhub.server.settings import SettingsError, address_of

    try:
        return address_of(text, str(option.name))
    except SettingsError as fault:
        raise click.BadParameter(str(fault)) from None


@main.command()
@click.option("--name", required=True, help="The node's name, unique in the fleet.")
@click.option("--listen", default="127.0.0.1:0", callback=_address, show_default=True)
@click.option("--directory", required=True, callback=_address, help="HOST:PORT of the directory.")
@click.option("--kind", required=True, help="Its kind, as the settings of the schedulers name it.")
@click.option("--cores", required=True, type=click.FloatRange(min=0, min_open=True))
@click.option("--memory", required=True, help="As 64gb.")
@click.option("--rack", default="rack-1", show_default=True)
@click.option("--zone", default="zone-1", show_default=True)
@click.option("--admit-cores", default=1.0, show_default=True)
@click.option("--admit-memory", default=1.0, show_default=True)
@click.option("--answers", type=click.Choice(["running", "accepted"]), default="running", show_default=True)
@click.option("--runner", type=click.Choice(["real", "emulated"]), default="real", show_default=True)
@click.option("--spool", type=click.Path(path_type=Path), default=Path("spool"), show_default=True)
@click.option("--seed", default=1, show_default=True)
def node(
    name: str, listen: tuple[str, int], directory: tuple[str, int], kind: str, cores: float, memory: str,
    rack: str,
    zone: str, admit_cores: float, admit_memory: float, answers: str, runner: str, spool: Path, seed: int,
) -> None:  # fmt: skip
    """Run one node agent."""
    from ladderhub.node.admission import NodeSettings
    from ladderhub.node.agent import Agent
    from ladderhub.node.runners import EmulatedRunner, EmulatedSettings, RealRunner, Runner
    from ladderhub.pbs.resources import GIB, ResourceError, parse_size

    log = set_up_log("json", "info")
    loop = make_loop(log)
    spool.mkdir(parents=True, exist_ok=True)
    work: Runner = (
        EmulatedRunner(loop, EmulatedSettings(), seed) if runner == "emulated" else RealRunner(loop, spool)
    )
    try:
        settings = NodeSettings(cores, parse_size(memory, "memory") / GIB, kind, admit_cores, admit_memory)
        agent = Agent(
            loop, name, settings, work, address=listen, directory=directory, rack=rack, zone=zone,
            answers=answers,
            seed=seed,
        )  # fmt: skip
    except (ResourceError, OSError, ValueError) as fault:
        click.echo(f"ladderhub: cannot start: {fault}", err=True)
        sys.exit(1)
    log.info("ready", node=name, address=agent.advertise)

    def end() -> None:
        agent.send_away()
        loop.call_later(3_000_000_000, loop.stop)

    loop.on_signal(signal.SIGTERM, end)
    loop.on_signal(signal.SIGINT, end)
    loop.run()
    agent.close()


@main.command()
@click.option("--listen", default="127.0.0.1:15009", callback=_address, show_default=True)
@click.option("--delay", default=1.0, show_default=True, help="Seconds by which schedulers are told late.")
def directory(listen: tuple[str, int], delay: float) -> None:
    """Run the directory that tells schedulers of nodes."""
    from ladderhub.directory.service import Directory

    log = set_up_log("json", "info")
    loop = make_loop(log)
    try:
        service = Directory(loop, listen, round(delay * 1e9))
    except OSError as fault:
        click.echo(f"ladderhub: cannot start: {fault}", err=True)
        sys.exit(1)
    log.info("ready", address="{}:{}".format(*service.address))
    loop.on_signal(signal.SIGTERM, loop.stop)
    loop.on_signal(signal.SIGINT, loop.stop)
    loop.run()


@main.command()
@click.option("--keep", is_flag=True, help="Stay up, with the real runner, for commands from another shell.")
@click.option("--schedulers", default=2, show_default=True, type=click.IntRange(1, 9))
def demo(keep: bool, schedulers: int) -> None:
    """Start schedulers, a directory and eight nodes, submit job scripts and show what becomes of them."""
    from ladderhub.lab.demo import run_demo

    sys.exit(run_demo(keep, schedulers))


main.add_command(rollout)


@main.group()
def lab() -> None:
    """The laboratory: scripted days, recordings, load."""


def _run_day(name: str, seed: int, folder: Path | None) -> None:
    from ladderhub.lab.day import Day, scenario

    try:
        plan = scenario(name)
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
    sys.exit(0 if outcome.verdict.good() and not outcome.verdict.unread else 1)


_SEED = click.option("--seed", default=1, show_default=True)
_FOLDER = click.option("--folder", type=click.Path(path_type=Path), help="Keep recording and logs here.")


@lab.command("bad-day")
@_SEED
@_FOLDER
def bad_day(seed: int, folder: Path | None) -> None:
    """Run the bad day and judge the five rules from the recorded bytes."""
    _run_day("bad-day", seed, folder)


@lab.command()
@click.argument("kind")
@_SEED
@_FOLDER
def replay(kind: str, seed: int, folder: Path | None) -> None:
    """Run one KIND of trouble through real schedulers and judge the rules."""
    _run_day(kind, seed, folder)


@lab.command()
@click.option("--nodes", default=90, show_default=True)
@click.option("--rate", default=180.0, show_default=True, help="Jobs a second.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--jobs", default=10_000, show_default=True, help="Held jobs for memory and qstat; 0 for none.")
def load(nodes: int, rate: float, seconds: float, jobs: int) -> None:
    """Measure one daemon: rate, delay it adds, memory a job, qstat, qsub's own start."""
    from ladderhub.lab.load import Bench, start_ratio, weigh

    bench = Bench(nodes)
    try:
        got = bench.load(rate, seconds)
    finally:
        bench.close()
    click.echo(f"{os.cpu_count()} cores here; {nodes} emulated nodes, {rate:g} jobs/s for {seconds:g} s")
    click.echo(f"submitted {got.submitted}: {got.placed} placed, {got.refused} refused, {got.failed} failed")
    click.echo(f"daemon used {got.cores:.2f} of one core")
    for name, values in (
        ("submit to acknowledged", got.commit_ms), ("submit to offer at the node", got.added_ms),
        ("submit to running", got.start_ms),
    ):  # fmt: skip
        click.echo(f"{name:<28} ms at p50/p99/p99.9: {' / '.join(map(str, values))}")
    own, bare = start_ratio()
    click.echo(
        f"qsub starts in {own / bare:.2f} times a bare interpreter ({own * 1000:.0f}, {bare * 1000:.0f} ms)"
    )
    if jobs:
        weight = weigh(jobs)
        click.echo(f"{weight.jobs} held jobs: {weight.bytes_a_job} bytes each")
        click.echo(f"qstat {weight.qstat_s:.2f} s, qstat -f {weight.qstat_full_s:.2f} s")
        click.echo(f"a small request waits at most {weight.held_up_ms:.0f} ms while all jobs are asked for")


@lab.command()
@click.option("--copies", default=200, show_default=True)
@click.option("--calm", is_flag=True, help="Without faults: how close the length comes to what limits allow.")
@_SEED
@_FOLDER
def updates(copies: int, calm: bool, seed: int, folder: Path | None) -> None:
    """Update three services at once on real sockets, with faults; judge limits from the recorded bytes."""
    from ladderhub.lab.updates import run_updates

    got = run_updates(copies, seed, not calm, click.echo, folder)
    for line in [*got.limits.lines(), *got.rules.lines()]:
        click.echo(line)
    click.echo(f"{got.seconds:.1f} s; limits, starts and health allow {got.bound_s:.1f} s at best")
    click.echo(f"updates that came to their end: {', '.join(got.ended) or 'none'}")
    sys.exit(0 if got.good() else 1)


@lab.command()
@click.option("--count", default=1000, show_default=True)
@_SEED
@_FOLDER
def submits(count: int, seed: int, folder: Path | None) -> None:
    """Submit by real qsub processes against flaky nodes; count answers from the recording and from qstat."""
    from ladderhub.lab.load import thousand

    got = thousand(count, seed, click.echo, keep=folder)
    click.echo(f"acknowledged {got.acknowledged}, commands that failed {got.failed_commands}")
    click.echo(f"by the recording: {got.by_recording}")
    click.echo(f"by qstat:         {got.by_qstat}")
    for line in got.verdict.lines():
        click.echo(line)
    click.echo("the two agree" if got.agree else "the two do NOT agree")
    sys.exit(0 if got.agree and got.verdict.good() else 1)


if __name__ == "__main__":
    main()
