"""`qalter`: change the attributes of jobs (POSIX.1-2008 `qalter`)."""

from __future__ import annotations

import sys

from ladderhub.commands import client
from ladderhub.commands.jobattrs import check_option, list_warnings, make_attr
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request
from ladderhub.pbs.resources import ResourceError, parse_list

USAGE = (
    "qalter [-a date_time] [-A account] [-c interval] [-e path] [-j oe|eo|n] [-k keep] [-l resources] "
    "[-m mail] [-M users] [-N name] [-o path] [-p priority] [-P project] [-r y|n] [-S shell] "
    "[-W attributes] job ..."
)


def main(argv: list[str]) -> int:
    options, operands = client.parse_options(argv, "a:A:c:e:j:k:l:m:M:N:o:p:P:r:S:W:", USAGE)
    attrs: list[Attr] = []
    for option, value in options:
        letter = option[1:]
        try:
            if letter == "l":
                attrs += client.make_resource_attrs("Resource_List", parse_list(value))
            elif letter == "W":
                attrs += [Attr(key, text) for key, text in parse_list(value)]
            else:
                check_option(letter, value)
                attrs.append(make_attr(letter, value))
        except (ResourceError, ValueError) as fault:
            raise client.CommandError(f"illegal -{letter} value: {fault}") from None
    if not attrs:
        raise client.CommandError(f"nothing to change\nusage: {USAGE}")
    jobs = client.parse_job_ids(operands, USAGE)
    for line in list_warnings(attrs):
        sys.stderr.write(f"qalter: warning: {line}\n")
    return client.send_for_each_job(
        "qalter", jobs, client.Connection(),
        lambda job: Request(n.MODIFY_JOB, job=job, attrs=attrs, command=n.CMD_SET, object_type=n.OBJ_JOB),
    )  # fmt: skip


def run() -> None:
    client.run_command("qalter", main)
