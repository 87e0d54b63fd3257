"""Commands for long-running processes (scheduler, node, directory, demo) and the check of a settings file."""

from __future__ import annotations

import gc
import signal
import sys
from pathlib import Path

import click
import msgspec

from ladderhub.cli.common import parse_address_option, fail, load_settings, make_loop, set_up_log
from ladderhub.errors import LadderhubError


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check a settings FILE without starting anything."""
    settings = load_settings(file)
    click.echo(f"{file}: good: {len(settings.file.queues)} queues, {len(settings.file.kinds)} kinds of node")


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def serve(file: Path) -> None:
    """Run one scheduler daemon with the settings in FILE.  On SIGTERM it settles its open jobs, then ends."""
    from ladderhub.loop.http import HttpServer, Page
    from ladderhub.server.daemon import Daemon
    from ladderhub.usage.accounted import AccountedLoop
    from ladderhub.usage.processor import Cause, ProcessorTime

    settings = load_settings(file)
    processor = ProcessorTime()
    log = set_up_log(settings.file.log.format, settings.file.log.level, processor)
    loop = AccountedLoop(processor)
    # The loop delivers signals only once it runs; `daemon` is set by then.
    loop.on_signal(signal.SIGTERM, lambda: daemon.shut_down())
    loop.on_signal(signal.SIGINT, lambda: daemon.shut_down())
    try:
        daemon = Daemon(loop, settings, log)
        metrics = daemon.metrics

        def log_trouble(where: str, fault: BaseException) -> None:
            metrics.troubles += 1
            log.error("trouble", where=where, exc_info=fault)

        loop.trouble = log_trouble
        daemon.start()
        if settings.http is not None:
            pages: dict[str, Page] = {
                "/metrics": daemon.metrics.render_page,
                "/health": lambda: (503, "text/plain", b"stopping\n") if daemon.stopping
                else (200, "text/plain", b"ok\n"),
            }  # fmt: skip
            processor.run(Cause.LOG_METRICS, HttpServer, loop, settings.http, pages)
    except LadderhubError as fault:
        fail(fault, f"ladderhub: {file}: cannot start")
    except (OSError, ValueError) as fault:
        click.echo(f"ladderhub: {file}: cannot start: {fault}", err=True)
        sys.exit(1)
    # Objects created until now live as long as the process, so the garbage collector can skip them.  What a
    # burst of jobs leaves is collected seldom, because a full collection blocks the whole loop.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    daemon.on_end = loop.stop
    loop.run()
    loop.ignore_signals()


@click.command("platform")
def run_on_platform() -> None:
    """Run one scheduler on the users' platform, configured by PROXY_CONFIG, PROXY_LISTEN and PROXY_NAME."""
    from ladderhub.platform.service import main as run_scheduler

    run_scheduler()


@click.command()
@click.option("--name", required=True, help="The node's name, unique in the fleet.")
@click.option("--listen", default="127.0.0.1:0", callback=parse_address_option, show_default=True)
@click.option("--directory", required=True, callback=parse_address_option, help="HOST:PORT of the directory.")
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
    work_runner: Runner = (
        EmulatedRunner(loop, EmulatedSettings(), seed) if runner == "emulated" else RealRunner(loop, spool)
    )
    try:
        settings = NodeSettings(cores, parse_size(memory, "memory") / GIB, kind, admit_cores, admit_memory)
        agent = Agent(
            loop, name, settings, work_runner, address=listen, directory=directory, rack=rack, zone=zone,
            answers=answers,
            seed=seed,
        )  # fmt: skip
    except (ResourceError, OSError, ValueError) as fault:
        click.echo(f"ladderhub: cannot start: {fault}", err=True)
        sys.exit(1)

    def stop() -> None:
        agent.stop_all_jobs()
        loop.call_later(3_000_000_000, loop.stop)

    loop.on_signal(signal.SIGTERM, stop)
    loop.on_signal(signal.SIGINT, stop)
    log.info("ready", node=name, address=agent.advertise)
    loop.run()
    loop.ignore_signals()
    agent.close()


@click.command()
@click.option("--listen", default="127.0.0.1:15009", callback=parse_address_option, show_default=True)
@click.option("--delay", default=1.0, show_default=True, help="Seconds by which schedulers are told late.")
@click.option(
    "--settle",
    default=5.0,
    show_default=True,
    help="Seconds from its start in which it tells no full list: nodes try again each 0.2 s.",
)
@click.option(
    "--stats", type=click.Path(dir_okay=False, path_type=Path), help="Written at SIGUSR1 and the end."
)
def directory(listen: tuple[str, int], delay: float, settle: float, stats: Path | None) -> None:
    """Run the directory, which announces nodes to schedulers."""
    from ladderhub.directory.service import Directory

    log = set_up_log("json", "info")
    loop = make_loop(log)
    try:
        service = Directory(loop, listen, round(delay * 1e9), settle_ns=round(settle * 1e9))
    except OSError as fault:
        click.echo(f"ladderhub: cannot start: {fault}", err=True)
        sys.exit(1)
    loop.on_signal(signal.SIGTERM, loop.stop)
    loop.on_signal(signal.SIGINT, loop.stop)
    if stats is not None:
        loop.on_signal(signal.SIGUSR1, lambda: _write_atomically(stats, msgspec.json.encode(service.stats())))
    log.info("ready", address="{}:{}".format(*service.address))
    loop.run()
    loop.ignore_signals()
    if stats is not None:
        _write_atomically(stats, msgspec.json.encode(service.stats()))


def _write_atomically(path: Path, data: bytes) -> None:
    """Writes a file by a rename, so that readers never see it incomplete."""
    new_file = path.with_name(path.name + ".new")
    new_file.write_bytes(data)
    new_file.replace(path)


@click.command()
@click.option("--keep", is_flag=True, help="Stay up, with the real runner, for commands from another shell.")
@click.option("--schedulers", default=2, show_default=True, type=click.IntRange(1, 9))
def demo(keep: bool, schedulers: int) -> None:
    """Start schedulers, a directory and eight nodes, submit job scripts and show their results."""
    from ladderhub.lab.demo import run_demo

    sys.exit(run_demo(keep, schedulers))
