"""`qalter`: change the attributes of jobs (POSIX.1-2008 `qalter`)."""

from __future__ import annotations

import sys

from ladderhub.commands import client as c
from ladderhub.commands.jobattrs import attr_of, check, warnings
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request
from ladderhub.pbs.resources import ResourceError, parse_list

USAGE = (
    "qalter [-a date_time] [-A account] [-c interval] [-e path] [-j oe|eo|n] [-k keep] [-l resources] "
    "[-m mail] [-M users] [-N name] [-o path] [-p priority] [-P project] [-r y|n] [-S shell] "
    "[-W attributes] job ..."
)


def main(argv: list[str]) -> int:
    options, operands = c.options(argv, "a:A:c:e:j:k:l:m:M:N:o:p:P:r:S:W:", USAGE)
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
                attrs.append(attr_of(letter, value))
        except (ResourceError, ValueError) as fault:
            raise c.CommandError(f"illegal -{letter} value: {fault}") from None
    if not attrs:
        raise c.CommandError(f"nothing to change\nusage: {USAGE}")
    jobs = c.job_operands(operands, USAGE)
    for line in warnings(attrs):
        sys.stderr.write(f"qalter: warning: {line}\n")
    return c.each_job(
        "qalter", jobs, c.Connection(),
        lambda job: Request(n.MODIFY_JOB, job=job, attrs=attrs, command=n.CMD_SET, object_type=n.OBJ_JOB),
    )  # fmt: skip


def run() -> None:
    c.run("qalter", main)
