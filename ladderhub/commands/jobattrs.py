"""Options of `qsub` and `qalter` that become attributes of a job, checked, and what is told about them."""

from __future__ import annotations

import time

from ladderhub.pbs.attributes import SHOWN
from ladderhub.pbs.batch import Attr
from ladderhub.pbs.dates import parse_date

NAME_MOST = 236
NAMES = {
    "A": "Account_Name", "a": "Execution_Time", "c": "Checkpoint", "e": "Error_Path", "j": "Join_Path",
    "k": "Keep_Files", "m": "Mail_Points", "M": "Mail_Users", "N": "Job_Name", "o": "Output_Path",
    "p": "Priority", "P": "project", "r": "Rerunable", "S": "Shell_Path_List",
}  # fmt: skip


def check(letter: str, value: str) -> None:
    """The value of one option; `ValueError` says what was meant."""
    if letter == "N":
        if (
            not value
            or len(value) > NAME_MOST
            or any(char.isspace() or not char.isprintable() for char in value)
        ):
            raise ValueError(
                f"{value!r}: a name of 1 to {NAME_MOST} printable characters without spaces is meant"
            )
        if not (value[0].isalpha() or value[0] in "_+"):
            raise ValueError(f"{value}: a name begins with a letter")
    elif letter == "j" and value not in ("oe", "eo", "n"):
        raise ValueError(f"{value}: oe, eo or n is meant")
    elif letter == "r" and value not in ("y", "n"):
        raise ValueError(f"{value}: y or n is meant")
    elif letter == "p":
        try:
            if not -1024 <= int(value) <= 1023:
                raise ValueError
        except ValueError:
            raise ValueError(f"{value}: a whole number from -1024 to 1023 is meant") from None
    elif letter == "k" and value != "n" and (not value or set(value) - set("oed")):
        raise ValueError(f"{value}: n, or letters of o, e and d are meant")
    elif letter == "m" and value != "n" and (not value or set(value) - set("abej")):
        raise ValueError(f"{value}: n, or letters of a, b and e are meant")
    elif letter == "c":
        word, equals, minutes = value.partition("=")
        if not (value in ("n", "u", "s", "c", "w") or (word in ("c", "w") and equals and minutes.isdigit())):
            raise ValueError(f"{value}: n, u, s, c, w, c=minutes or w=minutes is meant")
    elif letter == "a":
        parse_date(value, int(time.time()))


def attr_of(letter: str, value: str) -> Attr:
    """The attribute of one checked option, as it goes to the server."""
    if letter == "a":
        value = str(parse_date(value, int(time.time())))
    elif letter == "r":
        value = "True" if value == "y" else "False"
    return Attr(NAMES[letter], value)


def warnings(attrs: list[Attr]) -> list[str]:
    """One line for each attribute that is taken though nothing acts on it, but where that changes nothing."""
    given = {attr.name: attr.value for attr in attrs}
    quiet = {"Priority": ("0",), "Mail_Points": ("n",)}
    lines: dict[str, str] = {}
    for name, why in SHOWN.items():
        value = given.get(name, "")
        silent = name == "Mail_Users" and given.get("Mail_Points") == "n"
        if why and value and value not in quiet.get(name, ()) and not silent:
            lines.setdefault(why, f"{name}={value}: {why}")
    return list(lines.values())
