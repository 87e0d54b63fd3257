"""`qselect`: print the identifiers of the jobs that match criteria (POSIX.1-2008 `qselect`)."""

from __future__ import annotations

from ladderhub.commands import client
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request

USAGE = (
    "qselect [-A account] [-h hold_list] [-l resources] [-N name] [-q destination] [-s states] "
    "[-u users] [-x]"
)
_ATTRIBUTE_NAMES = {
    "A": "Account_Name",
    "h": "Hold_Types",
    "N": "Job_Name",
    "q": "queue",
    "s": "job_state",
    "u": "Job_Owner",
}


def main(argv: list[str]) -> int:
    options, operands = client.parse_options(argv, "A:h:l:N:q:s:u:x", USAGE)
    if operands:
        raise client.CommandError(f"usage: {USAGE}")
    attrs: list[Attr] = []
    server = ""
    for option, value in options:
        letter = option[1:]
        if letter == "l":
            for item in value.split(","):
                attrs.append(_parse_criterion(item))
        elif letter == "s" and (not value or any(state not in n.STATES for state in value)):
            raise client.CommandError(f"illegal -s value: {value}: letters of {n.STATES} are meant")
        elif letter != "x":
            if letter == "q":
                server = value.partition("@")[2]
            attrs.append(Attr(_ATTRIBUTE_NAMES[letter], value, op=n.OP_EQ))
    connection = client.Connection(server)
    extension = "x" if ("-x", "") in options else ""
    reply = connection.ask(Request(n.SELECT_JOBS, attrs=attrs, extension=extension))
    if reply.code:
        raise client.RefusedError(client.describe_error(reply))
    if reply.jobs:
        print("\n".join(reply.jobs))
    return 0


def _parse_criterion(item: str) -> Attr:
    """Parses one resource criterion, `name.op.value` or `name=value`."""
    name, _, rest = item.partition(".")
    operator, _, value = rest.partition(".")
    if operator in n.OPERATORS and value:
        return Attr("Resource_List", value, name, n.OPERATORS[operator])
    name, equals, value = item.partition("=")
    if equals and value:
        return Attr("Resource_List", value, name, n.OP_EQ)
    raise client.CommandError(
        f"illegal -l value: {item}: name.op.value is meant, op one of {', '.join(n.OPERATORS)}"
    )


def run() -> None:
    client.run_command("qselect", main)
