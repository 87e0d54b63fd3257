"""`qalter`: change the attributes of jobs (POSIX.1-2008 `qalter`)."""

from __future__ import annotations

from ladderhub.commands import client as c
from ladderhub.commands.qsub import check
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request
from ladderhub.pbs.resources import ResourceError, parse_list

USAGE = (
    "qalter [-A account] [-e path] [-j oe|eo|n] [-l resources] [-N name] [-o path] [-p priority] "
    "[-r y|n] job ..."
)
_NAMES = {
    "A": "Account_Name", "a": "Execution_Time", "c": "Checkpoint", "e": "Error_Path", "j": "Join_Path",
    "k": "Keep_Files", "m": "Mail_Points", "M": "Mail_Users", "N": "Job_Name", "o": "Output_Path",
    "p": "Priority", "S": "Shell_Path_List", "u": "User_List",
}  # fmt: skip


def main(argv: list[str]) -> int:
    options, operands = c.options(argv, "a:A:c:e:j:k:l:m:M:N:o:p:r:S:u:W:", USAGE)
    attrs: list[Attr] = []
    for option, value in options:
        letter = option[1:]
        try:
            if letter == "l":
                attrs += c.resource_attrs("Resource_List", parse_list(value))
            elif letter == "W":
                attrs += [Attr(key, text) for key, text in parse_list(value)]
            else:
                check(letter, value)
                flag = {"y": "True", "n": "False"}
                attrs.append(Attr("Rerunable", flag[value]) if letter == "r" else Attr(_NAMES[letter], value))
        except (ResourceError, ValueError) as fault:
            raise c.CommandError(f"illegal -{letter} value: {fault}") from None
    if not attrs:
        raise c.CommandError(f"nothing to change\nusage: {USAGE}")
    jobs = c.job_operands(operands, USAGE)
    return c.each_job(
        "qalter", jobs, c.Connection(),
        lambda job: Request(n.MODIFY_JOB, job=job, attrs=attrs, command=n.CMD_SET, object_type=n.OBJ_JOB),
    )  # fmt: skip


def run() -> None:
    c.run("qalter", main)
