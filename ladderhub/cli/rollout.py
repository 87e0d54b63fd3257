"""`ladderhub rollout`: declares, updates and watches services through one scheduler, with batch requests."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

import click

from ladderhub.commands.client import CommandError, Connection, describe_error
from ladderhub.errors import LadderhubError
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row

BAR_WIDTH = 40
_SERVER = click.option("--server", default="", help="HOST:PORT of the scheduler; PBS_SERVER by default.")


@click.group()
def rollout() -> None:
    """Run services as sets of copies and update them within limits."""


def _fail(text: str, status: int) -> None:
    click.echo(f"ladderhub rollout: {text}", err=True)
    sys.exit(status)


def _send_request(server: str, command: int, name: str, attrs: list[Attr] | None = None) -> Reply:
    try:
        connection = Connection(server)
        request = Request(n.MANAGER, name=name, attrs=attrs, command=command, object_type=n.OBJ_SERVICE)
        reply = connection.ask(request)
        connection.close()
    except CommandError as fault:
        _fail(str(fault), fault.status)
        raise
    if reply.code:
        _fail(describe_error(reply), 2)
    return reply


def read_service_file(path: Path) -> tuple[str, list[Attr]]:
    """Reads a service's name and the attributes of its declaration; an invalid file ends the command."""
    from ladderhub.server.settings import evaluate

    try:
        value: Any = evaluate(path)
    except LadderhubError as fault:
        _fail(str(fault), 1)
    if not isinstance(value, dict) or not isinstance(value.get("service"), str):
        _fail(f"{path}: service: a name is meant", 1)
    attrs: list[Attr] = []
    for key, found in value.items():
        if key == "service":
            continue
        if key == "script_file":
            script = path.parent / str(found)
            try:
                attrs.append(Attr("script", script.read_bytes().decode("utf-8", "surrogateescape")))
            except OSError as fault:
                _fail(f"{path}: script_file: {script}: {fault.strerror}", 1)
        elif key == "resources":
            attrs += [
                Attr("Resource_List", _format_value(path, key, each), name)
                for name, each in _check_object(path, key, found)
            ]
        elif key == "variables":
            pairs = [
                f"{name}={_format_value(path, key, each)}" for name, each in _check_object(path, key, found)
            ]
            escaped = [pair.replace("\\", "\\\\").replace(",", "\\,") for pair in pairs]
            attrs.append(Attr("Variable_List", ",".join(escaped)))
        elif key == "update":
            for name, each in _check_object(path, key, found):
                if name == "failures":
                    inner = _check_object(path, "update.failures", each)
                    attrs += [Attr("update", _format_value(path, key, x), f"failures_{k}") for k, x in inner]
                else:
                    attrs.append(Attr("update", _format_value(path, key, each), name))
        elif key in ("queue", "count", "script"):
            attrs.append(Attr(key, _format_value(path, key, found)))
        elif key == "account":
            attrs.append(Attr("Account_Name", _format_value(path, key, found)))
        elif key == "output":
            attrs.append(Attr("Output_Path", _format_value(path, key, found)))
        elif key == "error":
            attrs.append(Attr("Error_Path", _format_value(path, key, found)))
        else:
            known = "service, queue, count, script, script_file, resources, variables, account, output, error"
            _fail(f"{path}: {key}: unknown; {known} and update are known", 1)
    return value["service"], attrs


def _check_object(path: Path, key: str, value: Any) -> list[tuple[str, Any]]:
    if not isinstance(value, dict):
        _fail(f"{path}: {key}: found {value!r}; an object is meant", 1)
    return list(value.items())


def _format_value(path: Path, key: str, value: Any) -> str:
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        _fail(f"{path}: {key}: found {value!r}; a text or a number is meant", 1)
    return f"{value:g}" if isinstance(value, float) else str(value)


@rollout.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--if-busy",
    type=click.Choice(["refuse", "queue", "replace"]),
    default="refuse",
    show_default=True,
    help="What to do where an update of the service is under way.",
)
@click.option("--watch", is_flag=True, help="Stay and show it until it is over or pauses.")
@_SERVER
def start(file: Path, if_busy: str, watch: bool, server: str) -> None:
    """Declare the service in FILE, or update it to match FILE."""
    name, attrs = read_service_file(file)
    reply = _send_request(server, n.CMD_CREATE, name, [*attrs, Attr("if_busy", if_busy)])
    _print_services(reply.rows)
    if watch:
        _watch_service(server, name)


@rollout.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@_SERVER
def plan(file: Path, server: str) -> None:
    """Show what an update to FILE would do, without changing anything."""
    name, attrs = read_service_file(file)
    row = _send_request(
        server, n.CMD_CREATE, name, [*attrs, Attr("plan", "1"), Attr("if_busy", "queue")]
    ).rows[0]
    old = f"in place of version {row.get('replaces')}" if row.get("replaces") else "for the first time"
    click.echo(f"{name}: {row.get('count')} copies of {row.get('effect')} work, {old}")
    click.echo(f"{row.get('waves')} waves, {row.get('at_once')} copies at once, bound by {row.get('bound')}")
    start_ns = int(row.get("start_ns"))
    seen = f"starts take {start_ns / 1e9:.1f} s here on average" if start_ns else "no start was seen yet"
    click.echo(f"about {int(row.get('expected_ns')) / 1e9:.0f} s where nothing fails ({seen})")


@rollout.command()
@click.argument("name", default="")
@click.option("--watch", is_flag=True, help="Stay and show it until it is over or pauses.")
@_SERVER
def status(name: str, watch: bool, server: str) -> None:
    """Show the service NAME, or all: copies new, old and down, and why it waits now."""
    if watch and name:
        _watch_service(server, name)
        return
    _print_services(_send_request(server, n.CMD_LIST, name).rows)


def _add_action_command(action: str, about: str) -> None:
    """Adds a command that sends `action` for one service."""

    @rollout.command(action, help=about)
    @click.argument("name")
    @_SERVER
    def command(name: str, server: str) -> None:
        _print_services(_send_request(server, n.CMD_SET, name, [Attr("action", action)]).rows)


_add_action_command(
    "pause", "Stop replacing copies of NAME; what is down is filled with what last ran well there."
)
_add_action_command("resume", "Go on with NAME; failures until now are forgiven.")
_add_action_command("abort", "Take NAME back to the version before, within the same limits.")


@rollout.command()
@click.argument("name")
@_SERVER
def remove(name: str, server: str) -> None:
    """End all copies of NAME and forget it."""
    _send_request(server, n.CMD_DELETE, name)
    click.echo(f"{name}: its copies are being ended")


def draw_bar(row: Row, width: int = BAR_WIDTH) -> str:
    """Draws the progress bar: # for new copies, = for old ones, . for those that are down."""
    count = max(1, int(row.get("count")))
    new = int(row.get("new")) * width // count
    down = -(-int(row.get("down")) * width // count)
    return "#" * new + "=" * max(0, width - new - down) + "." * min(down, width - new)


def _format_line(row: Row) -> str:
    return (
        f"{row.name:<16} [{draw_bar(row)}] {row.get('stage'):<6} v{row.get('version')}: "
        f"{row.get('new')} new, {row.get('old')} old, {row.get('down')} down, "
        f"{row.get('alive')} alive of {row.get('count')}"
    )


def _print_services(rows: list[Row]) -> None:
    for row in rows:
        click.echo(_format_line(row))
        for attr in row.attrs:
            if attr.name == "wait":
                click.echo(f"    {attr.value}")


def _watch_service(server: str, name: str) -> None:
    last = ""
    while True:
        row = _send_request(server, n.CMD_LIST, name).rows[0]
        waits = "; ".join(attr.value for attr in row.attrs if attr.name == "wait")
        line = _format_line(row) + (f"  ({waits})" if waits else "")
        if line != last:
            click.echo(line)
            last = line
        if row.get("stage") != "going":
            sys.exit(0 if row.get("stage") == "over" else 3)
        time.sleep(0.5)
