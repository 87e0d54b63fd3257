"""Job scripts: directives up to the first command, and how they meet the command line (POSIX `qsub`)."""

from __future__ import annotations

import shlex

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names

PREFIX = "#PBS"
DIRECTIVE_MOST = 64 * 1024


class ScriptError(LadderhubError):
    """A directive that can't be read, with the number of its line."""

    status, code = 1, names.BAD_SCRIPT
    remedy = "mend the directive in that line of the job script"


def directives(script: bytes, prefix: str = PREFIX) -> list[tuple[int, list[str]]]:
    """Words of each directive with its line number.

    The first line is skipped where it begins `#!` or `:`.  Directives stand before the first line that is
    neither empty nor a comment.  CRLF and a missing last newline do no harm.  An empty prefix asks for
    none."""
    found: list[tuple[int, list[str]]] = []
    if not prefix:
        return found
    for at, raw in enumerate(script.split(b"\n"), 1):
        line = raw.decode("utf-8", "surrogateescape").rstrip("\r")
        text = line.lstrip()
        if line.startswith(prefix):
            rest = line[len(prefix) :]
            if rest and not rest[0].isspace() and prefix == PREFIX:
                continue  # `#PBSish` is a comment
            if len(line) > DIRECTIVE_MOST:
                what = f"a directive of {len(line)} characters; {DIRECTIVE_MOST} can be read"
                raise ScriptError(what, where=f"line {at}")
            try:
                found.append((at, shlex.split(rest, comments=True)))
            except ValueError as fault:
                raise ScriptError(str(fault), where=f"line {at}") from None
        elif text and not text.startswith("#") and not (at == 1 and text.startswith(":")):
            break
    return found
