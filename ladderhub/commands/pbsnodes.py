"""`pbsnodes`: show nodes, set them offline (`-o`) or free again (`-r`), as in OpenPBS."""

from __future__ import annotations

import sys

from ladderhub.commands import client
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request, Row

USAGE = "pbsnodes [-a | -l | -o | -r] [node ...]"


def main(argv: list[str]) -> int:
    options, nodes = client.parse_options(argv, "alor", USAGE)
    given = dict(options)
    connection = client.Connection()
    if "-o" in given or "-r" in given:
        if not nodes:
            raise client.CommandError(f"usage: {USAGE}")
        return _set_state(connection, nodes, "offline" if "-o" in given else "free")
    rows: list[Row] = []
    status = 0
    for node in nodes or [""]:
        reply = connection.ask(Request(n.STATUS_NODE, name=node))
        if reply.code:
            sys.stderr.write(f"pbsnodes: {client.describe_error(reply)}\n")
            status = client.EXIT_REFUSED
        rows += reply.rows
    if "-l" in given:
        for row in rows:
            if row.get("state") != "free":
                print(f"{row.name:<20} {row.get('state')}")
        return status
    for row in rows:
        print(row.name)
        for attr in row.attrs:
            print(f"     {attr.key()} = {attr.value}")
        print()
    return status


def _set_state(connection: client.Connection, nodes: list[str], state: str) -> int:
    status = 0
    for node in nodes:
        reply = connection.ask(
            Request(
                n.MANAGER, name=node, attrs=[Attr("state", state)], command=n.CMD_SET, object_type=n.OBJ_NODE
            )
        )
        if reply.code:
            sys.stderr.write(f"pbsnodes: {client.describe_error(reply)}\n")
            status = client.EXIT_REFUSED
    return status


def run() -> None:
    client.run_command("pbsnodes", main)
