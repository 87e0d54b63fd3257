"""`ladderhub policy`: the configuration of the fleet as numbered revisions, asked of one scheduler."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from ladderhub.commands.client import CommandError, Connection, words
from ladderhub.errors import LadderhubError
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row

BAD_FILE, REFUSED, LOST, NO_MAJORITY = 1, 2, 4, 5  # exit statuses; 3: no server, as of all commands
SHOWN_DIGEST = 12  # digits of it that people are shown
CURRENT = "current"
_SERVER = click.option("--server", default="", help="HOST:PORT of the scheduler; PBS_SERVER by default.")


@click.group()
def policy() -> None:
    """Show and change the configuration that all schedulers of the fleet share."""


def _fail(text: str, status: int) -> NoReturn:
    click.echo(f"ladderhub policy: {text}", err=True)
    sys.exit(status)


def _request(server: str, command: int, name: str = "", attrs: list[Attr] | None = None) -> Reply:
    try:
        connection = Connection(server)
        request = Request(n.MANAGER, name=name, attrs=attrs, command=command, object_type=n.OBJ_POLICY)
        reply = connection.ask(request)
        connection.close()
    except CommandError as fault:
        _fail(str(fault), fault.status)
    return reply


def _rows(reply: Reply) -> list[Row]:
    if reply.code:
        _fail(words(reply), REFUSED)
    return reply.rows


def _read_body(file: Path) -> bytes:
    """The policy in a file: that of whole settings, or the policy alone; ends the command if it is none."""
    from ladderhub.server.settings import check, encode_policy, evaluate
    from ladderhub.server.settings.policy import decode_policy

    try:
        value: Any = evaluate(file)
        if isinstance(value, dict) and "server" in value:
            return encode_policy(check(value, str(file)).file)
        import msgspec

        return encode_policy(decode_policy(msgspec.json.encode(value), str(file)))
    except LadderhubError as fault:
        _fail(f"{fault} ({fault.remedy})", BAD_FILE)


# --- apply ----------------------------------------------------------------------------------------------


@policy.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--author", default="", help="Who is named as its author; the user who asks by default.")
@click.option("--reason", default="", help="Why, in a few words.")
@click.option(
    "--parent", type=click.IntRange(0), help="The revision it was made from; the one in force by default."
)
@_SERVER
def apply(file: Path, author: str, reason: str, parent: int | None, server: str) -> None:
    """Have the policy in FILE chosen as the next revision: a settings file or its policy part.

    Exit status: 0 in force (or was already), 1 the file, 2 refused by a member or by the scheduler, 3 no
    server, 4 another change came first, 5 no majority of the voters answered."""
    body = _read_body(file)
    base = _base_of(server, parent)
    if base is not None:
        _show_difference(base, body)
    number = base.get("number") if base is not None else "0"
    attrs = [
        Attr("body", body.decode()), Attr("author", author), Attr("reason", reason), Attr("parent", number)
    ]  # fmt: skip
    row = _rows(_request(server, n.CMD_CREATE, "", attrs))[0]
    sys.exit(_tell_outcome(row))


def _base_of(server: str, parent: int | None) -> Row | None:
    """The revision that the change is made from; None where none is in force yet."""
    if parent is not None:
        return _rows(_request(server, n.CMD_LIST, str(parent)))[0] if parent else None
    reply = _request(server, n.CMD_LIST, CURRENT)
    return None if reply.code == n.BAD_ATTRIBUTE_VALUE else _rows(reply)[0]


def _show_difference(base: Row, body: bytes) -> None:
    from ladderhub.server.settings import diff_policies

    click.echo(f"made from revision {base.get('number')}:")
    for line in diff_policies(base.get("body").encode(), body) or ["no difference"]:
        click.echo(f"  {line}")


def _tell_outcome(row: Row) -> int:
    """Print what became of it; the exit status."""
    told = _revision_words(row)
    match row.get("outcome"):
        case "applied":
            click.echo(f"in force as {told}")
            click.echo(f"confirmed by: {row.get('confirmed') or 'none'}")
            if row.get("silent"):
                click.echo(f"silent, and told as soon as they are reached: {row.get('silent')}")
            return 0
        case "unchanged":
            click.echo(f"unchanged: it is in force as {told}")
            return 0
        case "refused":
            click.echo(f"refused by {row.get('member')}: {row.get('fault')}; it is in force nowhere")
            return REFUSED
        case "lost":
            click.echo(f"another change came first: {told}; look at it, and apply again")
            return LOST
        case "stale parent":
            click.echo(f"made from a revision that is not in force: {told} is; look at it, and apply again")
            return LOST
        case "no majority":
            click.echo(f"{row.get('answered')} of {row.get('voters')} voters answered: no majority")
            follows = row.get("may_follow") == "True"
            click.echo("it may yet come into force" if follows else "it will not come into force")
            click.echo(f"what is in force was last confirmed {_age(row.get('age'))}")
            return NO_MAJORITY
        case other:
            click.echo(f"{other}: {row.get('fault')}")
            return REFUSED


def _revision_words(row: Row) -> str:
    number, digest = row.get("number"), row.get("digest")[:SHOWN_DIGEST]
    return f"revision {number} ({digest}) by {row.get('author')}: {row.get('reason') or 'no reason given'}"


def _age(text: str) -> str:
    """Seconds, as a scheduler tells them."""
    return f"{text} s ago" if text not in ("", "unknown") else "not in this life of the scheduler"


# --- show and status ------------------------------------------------------------------------------------


@policy.command()
@click.argument("number", type=click.IntRange(1), required=False)
@_SERVER
def show(number: int | None, server: str) -> None:
    """Show the revision NUMBER, or the one in force, with its whole policy."""
    import msgspec

    row = _rows(_request(server, n.CMD_LIST, CURRENT if number is None else str(number)))[0]
    click.echo(f"// {_revision_words(row)}")
    click.echo(f"// digest {row.get('digest')}, parent {row.get('parent')}, made_ms {row.get('made_ms')}")
    click.echo(msgspec.json.format(row.get("body").encode(), indent=2).decode())


@policy.command()
@_SERVER
def status(server: str) -> None:
    """Show what is in force at the scheduler, how sure it is of that, and what it knows of the others."""
    asked, *members = _rows(_request(server, n.CMD_LIST))
    in_force = _revision_words(asked) if asked.get("number") else "its settings file: nothing is chosen yet"
    click.echo(f"{asked.name}: {in_force}")
    click.echo(f"  {asked.get('revision_state')}; last confirmed {_age(asked.get('revision_age'))}")
    click.echo(f"  its settings file: {asked.get('settings_file')}")
    for member in members:
        click.echo(f"  {member.name:<16} {_member_words(member)}")


def _member_words(member: Row) -> str:
    if not member.get("head"):
        return "not heard yet"
    digest = member.get("digest")[:SHOWN_DIGEST]
    return f"knows revision {member.get('head')} ({digest}), heard {member.get('heard')} s ago"
