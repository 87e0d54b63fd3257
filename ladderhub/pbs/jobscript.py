"""Job scripts: parses the directives before the first command (POSIX `qsub`)."""

from __future__ import annotations

import shlex

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names

DIRECTIVE_PREFIX = "#PBS"
MAX_DIRECTIVE_LENGTH = 64 * 1024


class ScriptError(LadderhubError):
    """A directive that can't be parsed, with its line number."""

    status, code = 1, names.BAD_SCRIPT
    remedy = "mend the directive in that line of the job script"


def parse_directives(script: bytes, prefix: str = DIRECTIVE_PREFIX) -> list[tuple[int, list[str]]]:
    """Returns the line number and the arguments of each directive.

    A first line that begins with `#!` or `:` is skipped.  The first line that is neither empty nor a comment
    ends the directives.  CRLF line ends and a missing last newline are accepted.  With an empty prefix there
    are no directives."""
    found: list[tuple[int, list[str]]] = []
    if not prefix:
        return found
    for line_number, raw_line in enumerate(script.split(b"\n"), 1):
        line = raw_line.decode("utf-8", "surrogateescape").rstrip("\r")
        text = line.lstrip()
        if line.startswith(prefix):
            rest = line[len(prefix) :]
            if rest and not rest[0].isspace() and prefix == DIRECTIVE_PREFIX:
                continue  # `#PBSish` is a comment
            if len(line) > MAX_DIRECTIVE_LENGTH:
                what = f"a directive of {len(line)} characters; {MAX_DIRECTIVE_LENGTH} can be read"
                raise ScriptError(what, where=f"line {line_number}")
            try:
                found.append((line_number, shlex.split(rest, comments=True)))
            except ValueError as fault:
                raise ScriptError(str(fault), where=f"line {line_number}") from None
        elif text and not text.startswith("#") and not (line_number == 1 and text.startswith(":")):
            break
    return found
