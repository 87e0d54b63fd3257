"""`ladderhub policy`: shows and changes the fleet's configuration revisions through one scheduler."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from ladderhub.commands.client import CommandError, Connection, describe_error
from ladderhub.errors import LadderhubError
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row

EXIT_BAD_FILE, EXIT_REFUSED, EXIT_LOST, EXIT_NO_MAJORITY = 1, 2, 4, 5  # 3: no server, as in all commands
DIGEST_DIGITS = 12  # digits of a digest that are printed
CURRENT = "current"
_SERVER = click.option("--server", default="", help="HOST:PORT of the scheduler; PBS_SERVER by default.")


@click.group()
def policy() -> None:
    """Show and change the configuration that all schedulers of the fleet share."""


def _fail(text: str, status: int) -> NoReturn:
    click.echo(f"ladderhub policy: {text}", err=True)
    sys.exit(status)


def _send_request(server: str, command: int, name: str = "", attrs: list[Attr] | None = None) -> Reply:
    try:
        connection = Connection(server)
        request = Request(n.MANAGER, name=name, attrs=attrs, command=command, object_type=n.OBJ_POLICY)
        reply = connection.ask(request)
        connection.close()
    except CommandError as fault:
        _fail(str(fault), fault.status)
    return reply


def _get_rows(reply: Reply) -> list[Row]:
    if reply.code:
        _fail(describe_error(reply), EXIT_REFUSED)
    return reply.rows


def _read_body(file: Path) -> bytes:
    """Reads the policy from a settings file or a policy file; an invalid file ends the command."""
    from ladderhub.server.settings import check, encode_policy, evaluate
    from ladderhub.server.settings.policy import decode_policy

    try:
        value: Any = evaluate(file)
        if isinstance(value, dict) and "server" in value:
            return encode_policy(check(value, str(file)).file)
        import msgspec

        return encode_policy(decode_policy(msgspec.json.encode(value), str(file)))
    except LadderhubError as fault:
        _fail(f"{fault} ({fault.remedy})", EXIT_BAD_FILE)


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
    """Propose the policy in FILE (a settings file or its policy part) as the next revision.

    Exit status: 0 in force (or was already), 1 the file, 2 refused by a member or by the scheduler, 3 no
    server, 4 another change came first, 5 no majority of the voters answered."""
    body = _read_body(file)
    base = _fetch_base(server, parent)
    if base is not None:
        _show_difference(base, body)
    number = base.get("number") if base is not None else "0"
    attrs = [
        Attr("body", body.decode()), Attr("author", author), Attr("reason", reason), Attr("parent", number)
    ]  # fmt: skip
    row = _get_rows(_send_request(server, n.CMD_CREATE, "", attrs))[0]
    sys.exit(_print_outcome(row))


def _fetch_base(server: str, parent: int | None) -> Row | None:
    """Returns the revision that the change is based on; None where none is in force yet."""
    if parent is not None:
        return _get_rows(_send_request(server, n.CMD_LIST, str(parent)))[0] if parent else None
    reply = _send_request(server, n.CMD_LIST, CURRENT)
    return None if reply.code == n.BAD_ATTRIBUTE_VALUE else _get_rows(reply)[0]


def _show_difference(base: Row, body: bytes) -> None:
    from ladderhub.server.settings import diff_policies

    click.echo(f"made from revision {base.get('number')}:")
    for line in diff_policies(base.get("body").encode(), body) or ["no difference"]:
        click.echo(f"  {line}")


def _print_outcome(row: Row) -> int:
    """Prints the outcome of the change and returns the exit status."""
    description = _describe_revision(row)
    match row.get("outcome"):
        case "applied":
            click.echo(f"in force as {description}")
            click.echo(f"confirmed by: {row.get('confirmed') or 'none'}")
            if row.get("silent"):
                click.echo(f"silent, and told as soon as they are reached: {row.get('silent')}")
            return 0
        case "unchanged":
            click.echo(f"unchanged: it is in force as {description}")
            return 0
        case "refused":
            click.echo(f"refused by {row.get('member')}: {row.get('fault')}; it is in force nowhere")
            return EXIT_REFUSED
        case "lost":
            click.echo(f"another change came first: {description}; look at it, and apply again")
            return EXIT_LOST
        case "stale parent":
            click.echo(
                f"made from a revision that is not in force: {description} is; look at it, and apply again"
            )
            return EXIT_LOST
        case "no majority":
            click.echo(f"{row.get('answered')} of {row.get('voters')} voters answered: no majority")
            may_follow = row.get("may_follow") == "True"
            click.echo("it may yet come into force" if may_follow else "it will not come into force")
            click.echo(f"what is in force was last confirmed {_format_age(row.get('age'))}")
            return EXIT_NO_MAJORITY
        case other:
            click.echo(f"{other}: {row.get('fault')}")
            return EXIT_REFUSED


def _describe_revision(row: Row) -> str:
    number, digest = row.get("number"), row.get("digest")[:DIGEST_DIGITS]
    return f"revision {number} ({digest}) by {row.get('author')}: {row.get('reason') or 'no reason given'}"


def _format_age(text: str) -> str:
    """Formats an age in seconds as a scheduler reports it."""
    return f"{text} s ago" if text not in ("", "unknown") else "not in this life of the scheduler"


# --- show and status ------------------------------------------------------------------------------------


@policy.command()
@click.argument("number", type=click.IntRange(1), required=False)
@_SERVER
def show(number: int | None, server: str) -> None:
    """Show the revision NUMBER, or the one in force, with its whole policy."""
    import msgspec

    row = _get_rows(_send_request(server, n.CMD_LIST, CURRENT if number is None else str(number)))[0]
    click.echo(f"// {_describe_revision(row)}")
    click.echo(f"// digest {row.get('digest')}, parent {row.get('parent')}, made_ms {row.get('made_ms')}")
    click.echo(msgspec.json.format(row.get("body").encode(), indent=2).decode())


@policy.command()
@_SERVER
def status(server: str) -> None:
    """Show the revision in force at the scheduler, when it was confirmed, and the revisions of the others."""
    own_row, *members = _get_rows(_send_request(server, n.CMD_LIST))
    in_force = (
        _describe_revision(own_row) if own_row.get("number") else "its settings file: nothing is chosen yet"
    )
    click.echo(f"{own_row.name}: {in_force}")
    click.echo(
        f"  {own_row.get('revision_state')}; last confirmed {_format_age(own_row.get('revision_age'))}"
    )
    click.echo(f"  its settings file: {own_row.get('settings_file')}")
    for member in members:
        click.echo(f"  {member.name:<16} {_describe_member(member)}")


def _describe_member(member: Row) -> str:
    if not member.get("head"):
        return "not heard yet"
    digest = member.get("digest")[:DIGEST_DIGITS]
    return f"knows revision {member.get('head')} ({digest}), heard {member.get('heard')} s ago"
