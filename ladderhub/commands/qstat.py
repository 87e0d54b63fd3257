"""`qstat`: status of jobs, queues and the server (POSIX.1-2008 `qstat`; extensions as in OpenPBS)."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

from ladderhub.commands import client
from ladderhub.pbs import names as n
from ladderhub.pbs.attributes import parse_variables
from ladderhub.pbs.batch import Attr, Request, Row

USAGE = (
    "qstat [-f [-F json|dsv]] [-x] [-a|-i|-r|-H] [-n [-1]] [-s] [-w] [-u users] [-Q|-B] "
    "[job|queue|server ...]"
)
OPTION_LETTERS = "afF:xHinru:QBw1s"
NUMERIC_ATTRIBUTES = frozenset((
    "Exit_status", "Priority", "cpupercent", "list_version", "mpiprocs", "ncpus", "nodect", "nodes",
    "ompthreads", "owed", "placement_time_ns", "run_count", "session_id", "substate", "total_jobs",
))  # fmt: skip
TIME_ATTRIBUTES = ("ctime", "mtime", "stime", "qtime")
_TABLE_ATTRIBUTES = (
    "Job_Name",
    "Job_Owner",
    "job_state",
    "queue",
    "resources_used",
    "Resource_List",
    "exec_host",
    "comment",
)


def main(argv: list[str]) -> int:
    options, operands = client.parse_options(argv, OPTION_LETTERS, USAGE)
    given = dict(options)
    output_format = given.get("-F", "")
    if output_format not in ("", "json", "dsv"):
        raise client.CommandError(f"-F {output_format}: json or dsv is meant")
    if output_format and "-f" not in given:
        given["-f"] = ""
    connection = client.Connection()
    if "-Q" in given:
        return _print_objects(
            connection, n.STATUS_QUEUE, operands, "-f" in given, output_format, "Queue", _print_queue_table
        )
    if "-B" in given:
        return _print_objects(
            connection, n.STATUS_SERVER, operands, "-f" in given, output_format, "Server", _print_server_table
        )
    return _print_jobs(connection, given, operands, output_format)


def _fetch_rows(
    connection: client.Connection, kind: int, names: list[str], extension: str, attrs: list[Attr]
) -> tuple[list[Row], int]:
    rows: list[Row] = []
    status = 0
    for name in names or [""]:
        request = Request(kind, attrs=attrs, extension=extension)
        request.job = request.name = name
        reply = connection.ask(request)
        if reply.code:
            sys.stderr.write(f"qstat: {client.describe_error(reply)}\n")
            status = client.EXIT_REFUSED
        rows += reply.rows
    return rows, status


def _print_jobs(
    connection: client.Connection, given: dict[str, str], operands: list[str], output_format: str
) -> int:
    extension = "x" if "-x" in given or "-H" in given else ""
    attrs = [] if "-f" in given else [Attr(name, "") for name in _TABLE_ATTRIBUTES]
    rows, status = _fetch_rows(connection, n.STATUS_JOB, operands, extension, attrs)
    if "-u" in given:
        users = {name.partition("@")[0] for name in given["-u"].split(",")}
        rows = [row for row in rows if row.get("Job_Owner").partition("@")[0] in users]
    states = {"-i": "QHW", "-r": "RE", "-H": "F"}
    for option, letters in states.items():
        if option in given:
            rows = [row for row in rows if row.get("job_state") in letters]
    if output_format == "json":
        _print_json("Jobs", rows)
    elif "-f" in given:
        _print_full("Job Id", rows, output_format)
    elif rows and any(option in given for option in ("-a", "-i", "-r", "-u", "-n", "-H", "-s", "-w")):
        _print_wide_job_table(rows, given)
    elif rows:
        _print_job_table(rows)
    return status


def _print_job_table(rows: list[Row]) -> None:
    lines = [
        "Job id            Name             User              Time Use S Queue",
        "----------------  ---------------- ----------------  -------- - -----",
    ]
    for row in rows:
        used = row.get("resources_used.cput") or "0"
        lines.append(
            f"{row.name:<17.17} {row.get('Job_Name'):<16.16} {row.get('Job_Owner'):<17.17} {used:>8} "
            f"{row.get('job_state')} {row.get('queue')}"
        )
    sys.stdout.write("\n".join(lines) + "\n")


def _print_wide_job_table(rows: list[Row], given: dict[str, str]) -> None:
    # `-w` widens the table to 120 characters so that identifiers and names are not cut (OpenPBS).
    job, user, queue, name = (30, 15, 15, 15) if "-w" in given else (15, 8, 8, 10)
    titles = (("Job ID", job), ("Username", user), ("Queue", queue), ("Jobname", name))
    title = " ".join(f"{word:<{width}}" for word, width in titles)
    dashes = " ".join("-" * width for _, width in titles)
    lines = [
        "",
        " " * len(title) + "                Req'd  Req'd   Elap",
        f"{title} SessID NDS TSK Memory Time  S Time",
        f"{dashes} ------ --- --- ------ ----- - -----",
    ]
    for row in rows:
        get = row.get
        lines.append(
            f"{row.name:<{job}.{job}} {get('Job_Owner').partition('@')[0]:<{user}.{user}} "
            f"{get('queue'):<{queue}.{queue}} {get('Job_Name'):<{name}.{name}} {'--':>6} {'1':>3} "
            f"{get('Resource_List.ncpus') or '1':>3} "
            f"{get('Resource_List.mem') or '--':>6} {get('Resource_List.walltime') or '--':>5.5} "
            f"{get('job_state')} {'--':>5}"
        )
        if "-n" in given and "-1" in given:
            lines[-1] += f" {get('exec_host') or '--'}"
        elif "-n" in given:
            lines.append(f"   {get('exec_host') or '--'}")
        if get("comment") and ("-s" in given or get("job_state") not in "RF"):
            lines.append(f"   {get('comment')}")
    sys.stdout.write("\n".join(lines) + "\n")


def _convert_number(name: str, value: str) -> object:
    """Converts a value to a number where the published JSON form has one.

    The attribute's name decides, not the value: a job may be named `12`."""
    if name not in NUMERIC_ATTRIBUTES:
        return value
    try:
        return int(value)
    except ValueError:
        pass
    try:
        return float(value)
    except ValueError:
        return value


def _format_value(attr: Attr) -> str:
    """Returns the value for display; times become local dates."""
    if attr.name in TIME_ATTRIBUTES and attr.value.isdigit():
        return time.strftime("%a %b %d %H:%M:%S %Y", time.localtime(int(attr.value)))
    return attr.value


def _print_full(title: str, rows: list[Row], output_format: str) -> None:
    out = []
    for row in rows:
        if output_format == "dsv":
            out.append(
                "|".join([f"{title}: {row.name}", *(f"{a.key()}={_format_value(a)}" for a in row.attrs)])
            )
            continue
        out.append(f"{title}: {row.name}")
        for attr in row.attrs:
            out += _fold_line(f"    {attr.key()} = {_format_value(attr)}")
        out.append("")
    if out:
        sys.stdout.write("\n".join(out) + "\n")


def _fold_line(line: str) -> list[str]:
    """Folds a long line; continuation lines begin with a tab, as PBS prints them."""
    if len(line) <= 78:
        return [line]
    lines = [line[:78]]
    rest = line[78:]
    while rest:
        lines.append("\t" + rest[:70])
        rest = rest[70:]
    return lines


def _print_json(title: str, rows: list[Row]) -> None:
    import json

    from ladderhub import __version__

    jobs: dict[str, dict[str, object]] = {}
    for row in rows:
        entry: dict[str, object] = {}
        for attr in row.attrs:
            if attr.resource:
                group = entry.setdefault(attr.name, {})
                assert isinstance(group, dict)
                group[attr.resource] = _convert_number(attr.resource, attr.value)
            elif attr.name == "Variable_List":
                entry[attr.name] = parse_variables(attr.value)
            elif attr.name == "message":
                texts = entry.setdefault(attr.name, [])
                assert isinstance(texts, list)
                texts.append(attr.value)
            else:
                entry[attr.name] = _convert_number(attr.name, _format_value(attr))
        jobs[row.name] = entry
    host, port = client.parse_server_address()
    value = {
        "timestamp": int(time.time()), "pbs_version": f"ladderhub {__version__}",
        "pbs_server": f"{host}:{port}", title: jobs,
    }  # fmt: skip
    sys.stdout.write(json.dumps(value, indent=4) + "\n")


def _print_objects(
    connection: client.Connection, kind: int, operands: list[str], full: bool, output_format: str, title: str,
    table: Callable[[list[Row]], None],
) -> int:  # fmt: skip
    rows, status = _fetch_rows(connection, kind, operands, "", [])
    if output_format == "json":
        _print_json(title, rows)
    elif full:
        _print_full(title, rows, output_format)
    else:
        table(rows)
    return status


def _parse_state_counts(row: Row) -> dict[str, str]:
    return dict(part.split(":") for part in row.get("state_count").split())


def _print_queue_table(rows: list[Row]) -> None:
    lines = [
        "Queue              Max   Tot Ena Str   Que   Run   Hld   Wat   Trn   Ext Type",
        "---------------- ----- ----- --- --- ----- ----- ----- ----- ----- ----- ----",
    ]
    for row in rows:
        counts = _parse_state_counts(row)
        flags = ["yes" if row.get(name) == "True" else "no" for name in ("enabled", "started")]
        numbers = " ".join(
            f"{counts.get(word, '0'):>5}"
            for word in ("Queued", "Running", "Held", "Waiting", "Transit", "Exiting")
        )
        lines.append(
            f"{row.name:<16.16} {0:>5} {row.get('total_jobs'):>5} {flags[0]:>3} {flags[1]:>3} {numbers} Exec"
        )
    sys.stdout.write("\n".join(lines) + "\n")


def _print_server_table(rows: list[Row]) -> None:
    lines = [
        "Server             Max   Tot   Que   Run   Hld   Wat   Trn   Ext Status",
        "---------------- ----- ----- ----- ----- ----- ----- ----- ----- -----------",
    ]
    for row in rows:
        counts = _parse_state_counts(row)
        numbers = " ".join(
            f"{counts.get(word, '0'):>5}"
            for word in ("Queued", "Running", "Held", "Waiting", "Transit", "Exiting")
        )
        lines.append(
            f"{row.name:<16.16} {0:>5} {row.get('total_jobs'):>5} {numbers} {row.get('server_state')}"
        )
    sys.stdout.write("\n".join(lines) + "\n")


def run() -> None:
    client.run_command("qstat", main)


if __name__ == "__main__":
    run()
