"""Commands that send one request for each job: `qdel`, `qhold`, `qrls`, `qsig`, `qmsg` (POSIX.1-2008)."""

from __future__ import annotations

from ladderhub.commands import client
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request


def _qdel(argv: list[str]) -> int:
    usage = "qdel [-v] job ..."
    options, operands = client.parse_options(argv, "W:v", usage)
    jobs = client.parse_job_ids(operands, usage)
    extension = dict(options).get("-W", "")
    return client.send_for_each_job(
        "qdel", jobs, client.Connection(),
        lambda job: Request(
            n.DELETE_JOB, job=job, command=n.CMD_DELETE, object_type=n.OBJ_JOB, extension=extension
        ),
        show_text="-v" in dict(options),
    )  # fmt: skip


def _change_holds(argv: list[str], name: str, kind: int) -> int:
    usage = f"{name} [-h hold_list] job ..."
    options, operands = client.parse_options(argv, "h:", usage)
    kinds = dict(options).get("-h", "u")
    if not kinds or any(letter not in "uosn" for letter in kinds):
        raise client.CommandError(f"illegal -h value: {kinds}: letters of u, o, s or n are meant")
    jobs = client.parse_job_ids(operands, usage)
    return client.send_for_each_job(
        name, jobs, client.Connection(),
        lambda job: Request(
            kind, job=job, attrs=[Attr("Hold_Types", kinds)], command=n.CMD_SET, object_type=n.OBJ_JOB
        ),
    )  # fmt: skip


def _qsig(argv: list[str]) -> int:
    usage = "qsig [-s signal] job ..."
    options, operands = client.parse_options(argv, "s:", usage)
    signal = dict(options).get("-s", "SIGTERM")
    jobs = client.parse_job_ids(operands, usage)
    return client.send_for_each_job(
        "qsig", jobs, client.Connection(), lambda job: Request(n.SIGNAL_JOB, job=job, text=signal)
    )


def _qmsg(argv: list[str]) -> int:
    usage = "qmsg [-E] [-O] message_string job ..."
    options, operands = client.parse_options(argv, "EO", usage)
    if len(operands) < 2:
        raise client.CommandError(f"usage: {usage}")
    given = dict(options)
    files = (n.MSG_ERR if "-E" in given or not given else 0) | (n.MSG_OUT if "-O" in given else 0)
    jobs = client.parse_job_ids(operands[1:], usage)
    return client.send_for_each_job(
        "qmsg", jobs, client.Connection(),
        lambda job: Request(n.MESSAGE_JOB, job=job, file_kind=files, text=operands[0]),
    )  # fmt: skip


def qdel() -> None:
    client.run_command("qdel", _qdel)


def qhold() -> None:
    client.run_command("qhold", lambda argv: _change_holds(argv, "qhold", n.HOLD_JOB))


def qrls() -> None:
    client.run_command("qrls", lambda argv: _change_holds(argv, "qrls", n.RELEASE_JOB))


def qsig() -> None:
    client.run_command("qsig", _qsig)


def qmsg() -> None:
    client.run_command("qmsg", _qmsg)
