"""`qsub`: submit a job script (POSIX.1-2008 `qsub`, with the widely used `-J`-less PBS forms)."""

from __future__ import annotations

import os
import socket
import sys
import time

from ladderhub.commands import client as c
from ladderhub.commands.jobattrs import NAME_MOST, attr_of, check, warnings
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request
from ladderhub.pbs.jobscript import PREFIX, ScriptError, directives
from ladderhub.pbs.resources import ResourceError, parse_list, wanted

USAGE = (
    "qsub [-a date_time] [-A account] [-c interval] [-C directive_prefix] [-e path] [-h] [-j oe|eo|n] "
    "[-k keep] [-l resources] [-m mail] [-M users] [-N name] [-o path] [-p priority] [-P project] "
    "[-q destination] [-r y|n] [-S shell] [-u user] [-v variables] [-V] [-W attributes] [-z] [script]"
)
LETTERS = "a:A:c:C:e:hj:k:l:m:M:N:o:p:P:q:r:S:u:v:VW:z"
POLL_S = (0.1, 1.0)


class Job:
    """What one submission says, option by option; what was said first stays."""

    def __init__(self) -> None:
        self.options: dict[str, str] = {}
        self.resources: dict[str, str] = {}
        self.extra: dict[str, str] = {}

    def take(self, options: list[tuple[str, str]], where: str) -> None:
        """Add options that no earlier source gave.  Within one source the last one counts."""
        fresh: dict[str, str] = {}
        resources: dict[str, str] = {}
        extra: dict[str, str] = {}
        for option, value in options:
            letter = option.lstrip("-")
            try:
                if letter == "l":
                    resources.update(parse_list(value))
                elif letter == "W":
                    extra.update(parse_list(value))
                else:
                    check(letter, value)
                    fresh[letter] = value
            except (ResourceError, ValueError) as fault:
                raise c.CommandError(f"{where}illegal -{letter} value: {fault}") from None
        for mine, theirs in ((self.options, fresh), (self.resources, resources), (self.extra, extra)):
            for key, value in theirs.items():
                mine.setdefault(key, value)


def read_script(operands: list[str]) -> tuple[bytes, str]:
    """The script and the name it gives the job."""
    if len(operands) > 1:
        raise c.CommandError(f"usage: {USAGE}")
    if not operands or operands[0] == "-":
        return sys.stdin.buffer.read(n.SCRIPT_MOST + 1), "STDIN"
    path = operands[0]
    try:
        with open(path, "rb") as file:
            return file.read(n.SCRIPT_MOST + 1), os.path.basename(path)
    except OSError as fault:
        raise c.CommandError(f"script file: {path}: {fault.strerror}") from None


def gather(argv: list[str]) -> tuple[Job, bytes, str]:
    """Command line over directives over QSUB_OPTIONS-style defaults."""
    options, operands = c.options(argv, LETTERS, USAGE)
    job = Job()
    job.take(options, "")
    script, name = read_script(operands)
    if len(script) > n.SCRIPT_MOST:
        raise c.CommandError(f"the script is longer than {n.SCRIPT_MOST} bytes")
    if not script:
        raise c.CommandError("the script is empty")
    prefix = job.options.get("C", os.environ.get("PBS_DPREFIX") or PREFIX)
    try:
        for line, parts in directives(script, prefix):
            found, rest = c.options(parts, LETTERS, USAGE)
            if rest:
                raise c.CommandError(f"line {line}: {rest[0]!r} in a directive; only options are meant")
            job.take(found, f"line {line}: ")
    except ScriptError as fault:
        raise c.CommandError(str(fault)) from None
    defaults = os.environ.get("QSUB_OPTIONS", "")
    if defaults:
        import shlex

        job.take(c.options(shlex.split(defaults), LETTERS, USAGE)[0], "QSUB_OPTIONS: ")
    return job, script, name


def variables(job: Job) -> str:
    """`PBS_O_*`, then `-v`, and with `-V` the whole environment."""
    env = os.environ
    pairs: dict[str, str] = {}
    if "V" in job.options:
        pairs.update(env)
    for name in ("HOME", "LANG", "LOGNAME", "PATH", "MAIL", "SHELL", "TZ"):
        if name in env:
            pairs[f"PBS_O_{name}"] = env[name]
    pairs["PBS_O_WORKDIR"], pairs["PBS_O_HOST"] = os.getcwd(), socket.gethostname()
    if "q" in job.options:
        pairs["PBS_O_QUEUE"] = job.options["q"]
    for item in _split(job.options.get("v", "")):
        key, equals, value = item.partition("=")
        if not key:
            raise c.CommandError(f"illegal -v value: {item or job.options['v']}: NAME or NAME=VALUE is meant")
        if not equals and key not in env:
            raise c.CommandError(
                f"-v {key}: {key} is not set in the environment here; {key}=VALUE gives it one"
            )
        pairs[key] = value if equals else env[key]
    return ",".join(f"{key}={_escape(value)}" for key, value in pairs.items())


def _split(text: str) -> list[str]:
    parts, part, quote, escaped = [], "", "", False
    for char in text:
        if escaped:
            part, escaped = part + char, False
        elif char == "\\":
            escaped = True
        elif char == quote:
            quote = ""
        elif not quote and char in "'\"":
            quote = char
        elif char == "," and not quote:
            parts.append(part)
            part = ""
        else:
            part += char
    return [*parts, part] if text else []


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace(",", "\\,")


def attributes(job: Job, name: str, owner: str) -> list[Attr]:
    """The attributes of Queue Job."""
    given = job.options
    here = os.getcwd()
    if "N" not in given:
        name = "".join(char if char.isprintable() and not char.isspace() else "_" for char in name)[
            :NAME_MOST
        ]
        name = name if name[:1].isalpha() else "J" + name
    attrs = [Attr("Job_Name", given.get("N", name)), Attr("Job_Owner", owner)]
    attrs += [attr_of(letter, value) for letter, value in given.items() if letter in "AacjkmMpPS"]
    for letter in "oe":
        if letter in given:
            host, colon, path = given[letter].partition(":")
            if not colon or "/" in host:
                path = given[letter]
            elif host not in ("", "localhost", socket.gethostname()):
                why = "the node that runs the job writes the file; a path without a host is meant"
                raise c.CommandError(f"illegal -{letter} value: {given[letter]}: {why}")
            attrs.append(attr_of(letter, os.path.join(here, path)))
    attrs.append(attr_of("r", given.get("r", "y")))
    if "h" in given:
        attrs.append(Attr("Hold_Types", "u"))
    attrs.append(Attr("Variable_List", variables(job)))
    attrs += [Attr("Resource_List", value, key) for key, value in job.resources.items()]
    attrs += [Attr(key, value) for key, value in job.extra.items() if key != "block"]
    return attrs


def main(argv: list[str]) -> int:
    job, script, name = gather(argv)
    try:
        wanted(job.resources)
    except ResourceError as fault:
        raise c.CommandError(f"illegal -l value: {fault}") from None
    destination = job.options.get("q", "")
    queue, _, server = destination.partition("@")
    connection = c.Connection(server)
    asked_user = job.options.get("u", connection.user).partition("@")[0]
    if asked_user != connection.user:
        raise c.CommandError(
            f"illegal -u value: {job.options['u']}: jobs run as the user of their node's agent"
        )
    attrs = attributes(job, name, connection.user)
    request = Request(n.QUEUE_JOB, attrs=attrs, destination=queue)
    reply = connection.ask(request)
    if reply.code:
        raise c.RefusedError(c.words(reply))
    identifier = reply.job
    script_job = Request(n.JOB_SCRIPT, job=identifier, data=script)
    for reply in connection.send(script_job, Request(n.READY_TO_COMMIT, job=identifier)):
        if reply.code:
            raise c.RefusedError(c.words(reply))
    reply = connection.ask(Request(n.COMMIT, job=identifier))
    if reply.code:
        raise c.RefusedError(c.words(reply))
    if "z" not in job.options:
        print(identifier, flush=True)
    for line in warnings(attrs):
        sys.stderr.write(f"qsub: warning: {line}\n")
    status = 0
    if job.extra.get("block", "").lower() in ("true", "y", "1"):
        status = wait(connection, identifier)
    connection.close()
    return status


def wait(connection: c.Connection, job: str) -> int:
    """Until the job is over: its exit status, and on standard error why where it was not run to its end."""
    pause = POLL_S[0]
    while True:
        reply = connection.ask(Request(n.STATUS_JOB, job=job, extension="x"))
        if reply.code:
            raise c.RefusedError(c.words(reply))
        row = reply.rows[0]
        if row.get("job_state") == "F":
            status = int(row.get("Exit_status", "0"))
            if row.get("placement") != "placed":
                sys.stderr.write(f"qsub: {job} {row.get('placement')}: {row.get('comment')}\n")
                return c.REFUSED
            return status if 0 <= status < 256 else 128 + status % 128 if status > 256 else 1
        time.sleep(pause)
        pause = min(POLL_S[1], 1.5 * pause)


def run() -> None:
    c.run("qsub", main)


if __name__ == "__main__":
    run()
