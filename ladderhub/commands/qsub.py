"""`qsub`: submit a job script (POSIX.1-2008 `qsub`, with the common PBS options except `-J`)."""

from __future__ import annotations

import os
import socket
import sys
import time

from ladderhub.commands import client
from ladderhub.commands.jobattrs import MAX_NAME_LENGTH, check_option, list_warnings, make_attr
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Request
from ladderhub.pbs.jobscript import DIRECTIVE_PREFIX, ScriptError, parse_directives
from ladderhub.pbs.resources import ResourceError, parse_list, parse_resources

USAGE = (
    "qsub [-a date_time] [-A account] [-c interval] [-C directive_prefix] [-e path] [-h] [-j oe|eo|n] "
    "[-k keep] [-l resources] [-m mail] [-M users] [-N name] [-o path] [-p priority] [-P project] "
    "[-q destination] [-r y|n] [-S shell] [-u user] [-v variables] [-V] [-W attributes] [-z] [script]"
)
OPTION_LETTERS = "a:A:c:C:e:hj:k:l:m:M:N:o:p:P:q:r:S:u:v:VW:z"
# First and longest pause between two status requests of `-W block=true`.
POLL_S = (0.1, 1.0)


class Submission:
    """The options of one submission.  The source that sets an option first wins."""

    def __init__(self) -> None:
        self.options: dict[str, str] = {}
        self.resources: dict[str, str] = {}
        self.extra: dict[str, str] = {}

    def add_options(self, options: list[tuple[str, str]], where: str) -> None:
        """Adds the options that no earlier source gave.  Within one source the last value wins."""
        found: dict[str, str] = {}
        found_resources: dict[str, str] = {}
        found_extra: dict[str, str] = {}
        for option, value in options:
            letter = option.lstrip("-")
            try:
                if letter == "l":
                    found_resources.update(parse_list(value))
                elif letter == "W":
                    found_extra.update(parse_list(value))
                else:
                    check_option(letter, value)
                    found[letter] = value
            except (ResourceError, ValueError) as fault:
                raise client.CommandError(f"{where}illegal -{letter} value: {fault}") from None
        for current, added in (
            (self.options, found),
            (self.resources, found_resources),
            (self.extra, found_extra),
        ):
            for key, value in added.items():
                current.setdefault(key, value)


def read_script(operands: list[str]) -> tuple[bytes, str]:
    """Returns the script and the job name that follows from its source."""
    if len(operands) > 1:
        raise client.CommandError(f"usage: {USAGE}")
    if not operands or operands[0] == "-":
        return sys.stdin.buffer.read(n.MAX_SCRIPT_BYTES + 1), "STDIN"
    path = operands[0]
    try:
        with open(path, "rb") as file:
            return file.read(n.MAX_SCRIPT_BYTES + 1), os.path.basename(path)
    except OSError as fault:
        raise client.CommandError(f"script file: {path}: {fault.strerror}") from None


def collect_options(argv: list[str]) -> tuple[Submission, bytes, str]:
    """Collects options and script.  The command line wins over directives, and these over QSUB_OPTIONS."""
    options, operands = client.parse_options(argv, OPTION_LETTERS, USAGE)
    submission = Submission()
    submission.add_options(options, "")
    script, name = read_script(operands)
    if len(script) > n.MAX_SCRIPT_BYTES:
        raise client.CommandError(f"the script is longer than {n.MAX_SCRIPT_BYTES} bytes")
    if not script:
        raise client.CommandError("the script is empty")
    prefix = submission.options.get("C", os.environ.get("PBS_DPREFIX") or DIRECTIVE_PREFIX)
    try:
        for line, parts in parse_directives(script, prefix):
            found, rest = client.parse_options(parts, OPTION_LETTERS, USAGE)
            if rest:
                raise client.CommandError(f"line {line}: {rest[0]!r} in a directive; only options are meant")
            submission.add_options(found, f"line {line}: ")
    except ScriptError as fault:
        raise client.CommandError(str(fault)) from None
    defaults = os.environ.get("QSUB_OPTIONS", "")
    if defaults:
        import shlex

        submission.add_options(
            client.parse_options(shlex.split(defaults), OPTION_LETTERS, USAGE)[0], "QSUB_OPTIONS: "
        )
    return submission, script, name


def build_variable_list(submission: Submission) -> str:
    """Builds the `Variable_List`: the environment where `-V` is given, then `PBS_O_*`, then `-v`."""
    env = os.environ
    pairs: dict[str, str] = {}
    if "V" in submission.options:
        pairs.update(env)
    for name in ("HOME", "LANG", "LOGNAME", "PATH", "MAIL", "SHELL", "TZ"):
        if name in env:
            pairs[f"PBS_O_{name}"] = env[name]
    pairs["PBS_O_WORKDIR"], pairs["PBS_O_HOST"] = os.getcwd(), socket.gethostname()
    if "q" in submission.options:
        pairs["PBS_O_QUEUE"] = submission.options["q"]
    for item in _split_variables(submission.options.get("v", "")):
        key, equals, value = item.partition("=")
        if not key:
            raise client.CommandError(
                f"illegal -v value: {item or submission.options['v']}: NAME or NAME=VALUE is meant"
            )
        if not equals and key not in env:
            raise client.CommandError(
                f"-v {key}: {key} is not set in the environment here; {key}=VALUE gives it one"
            )
        pairs[key] = value if equals else env[key]
    return ",".join(f"{key}={_escape_value(value)}" for key, value in pairs.items())


def _split_variables(text: str) -> list[str]:
    """Splits a `-v` value at commas that are neither quoted nor escaped."""
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


def _escape_value(value: str) -> str:
    return value.replace("\\", "\\\\").replace(",", "\\,")


def build_attributes(submission: Submission, name: str, owner: str) -> list[Attr]:
    """Returns the attributes of the Queue Job request."""
    given = submission.options
    folder = os.getcwd()
    if "N" not in given:
        name = "".join(char if char.isprintable() and not char.isspace() else "_" for char in name)[
            :MAX_NAME_LENGTH
        ]
        name = name if name[:1].isalpha() else "J" + name
    attrs = [Attr("Job_Name", given.get("N", name)), Attr("Job_Owner", owner)]
    attrs += [make_attr(letter, value) for letter, value in given.items() if letter in "AacjkmMpPS"]
    for letter in "oe":
        if letter in given:
            host, colon, path = given[letter].partition(":")
            if not colon or "/" in host:
                path = given[letter]
            elif host not in ("", "localhost", socket.gethostname()):
                reason = "the node that runs the job writes the file; a path without a host is meant"
                raise client.CommandError(f"illegal -{letter} value: {given[letter]}: {reason}")
            attrs.append(make_attr(letter, os.path.join(folder, path)))
    attrs.append(make_attr("r", given.get("r", "y")))
    if "h" in given:
        attrs.append(Attr("Hold_Types", "u"))
    attrs.append(Attr("Variable_List", build_variable_list(submission)))
    attrs += [Attr("Resource_List", value, key) for key, value in submission.resources.items()]
    attrs += [Attr(key, value) for key, value in submission.extra.items() if key != "block"]
    return attrs


def main(argv: list[str]) -> int:
    submission, script, name = collect_options(argv)
    try:
        parse_resources(submission.resources)
    except ResourceError as fault:
        raise client.CommandError(f"illegal -l value: {fault}") from None
    destination = submission.options.get("q", "")
    queue, _, server = destination.partition("@")
    connection = client.Connection(server)
    asked_user = submission.options.get("u", connection.user).partition("@")[0]
    if asked_user != connection.user:
        raise client.CommandError(
            f"illegal -u value: {submission.options['u']}: jobs run as the user of their node's agent"
        )
    attrs = build_attributes(submission, name, connection.user)
    request = Request(n.QUEUE_JOB, attrs=attrs, destination=queue)
    reply = connection.ask(request)
    if reply.code:
        raise client.RefusedError(client.describe_error(reply))
    identifier = reply.job
    script_job = Request(n.JOB_SCRIPT, job=identifier, data=script)
    for reply in connection.send(script_job, Request(n.READY_TO_COMMIT, job=identifier)):
        if reply.code:
            raise client.RefusedError(client.describe_error(reply))
    reply = connection.ask(Request(n.COMMIT, job=identifier))
    if reply.code:
        raise client.RefusedError(client.describe_error(reply))
    if "z" not in submission.options:
        print(identifier, flush=True)
    for line in list_warnings(attrs):
        sys.stderr.write(f"qsub: warning: {line}\n")
    status = 0
    if submission.extra.get("block", "").lower() in ("true", "y", "1"):
        status = wait_until_finished(connection, identifier)
    connection.close()
    return status


def wait_until_finished(connection: client.Connection, job: str) -> int:
    """Waits until the job is finished and returns its exit status.

    Where the job was not placed, it prints the reason on standard error."""
    pause = POLL_S[0]
    while True:
        reply = connection.ask(Request(n.STATUS_JOB, job=job, extension="x"))
        if reply.code:
            raise client.RefusedError(client.describe_error(reply))
        row = reply.rows[0]
        if row.get("job_state") == "F":
            status = int(row.get("Exit_status", "0"))
            if row.get("placement") != "placed":
                sys.stderr.write(f"qsub: {job} {row.get('placement')}: {row.get('comment')}\n")
                return client.EXIT_REFUSED
            return status if 0 <= status < 256 else 128 + status % 128 if status > 256 else 1
        time.sleep(pause)
        pause = min(POLL_S[1], 1.5 * pause)


def run() -> None:
    client.run_command("qsub", main)


if __name__ == "__main__":
    run()
