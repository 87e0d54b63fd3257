"""Options of `qsub` and `qalter` that become attributes of a job: checks and warnings."""

from __future__ import annotations

import time

from ladderhub.pbs.attributes import STORED_ONLY
from ladderhub.pbs.batch import Attr
from ladderhub.pbs.dates import parse_date

MAX_NAME_LENGTH = 236
ATTRIBUTE_NAMES = {
    "A": "Account_Name", "a": "Execution_Time", "c": "Checkpoint", "e": "Error_Path", "j": "Join_Path",
    "k": "Keep_Files", "m": "Mail_Points", "M": "Mail_Users", "N": "Job_Name", "o": "Output_Path",
    "p": "Priority", "P": "project", "r": "Rerunable", "S": "Shell_Path_List",
}  # fmt: skip


def check_option(letter: str, value: str) -> None:
    """Checks the value of one option; `ValueError` says which values are valid."""
    if letter == "N":
        if (
            not value
            or len(value) > MAX_NAME_LENGTH
            or any(char.isspace() or not char.isprintable() for char in value)
        ):
            raise ValueError(
                f"{value!r}: a name of 1 to {MAX_NAME_LENGTH} printable characters without spaces is meant"
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
        kind, equals, minutes = value.partition("=")
        if not (value in ("n", "u", "s", "c", "w") or (kind in ("c", "w") and equals and minutes.isdigit())):
            raise ValueError(f"{value}: n, u, s, c, w, c=minutes or w=minutes is meant")
    elif letter == "a":
        parse_date(value, int(time.time()))


def make_attr(letter: str, value: str) -> Attr:
    """Returns the attribute that a checked option is sent as."""
    if letter == "a":
        value = str(parse_date(value, int(time.time())))
    elif letter == "r":
        value = "True" if value == "y" else "False"
    return Attr(ATTRIBUTE_NAMES[letter], value)


def list_warnings(attrs: list[Attr]) -> list[str]:
    """Returns one warning for each attribute that the server stores but does not act on.

    Values that ask for nothing (priority 0, no mail) give no warning."""
    given = {attr.name: attr.value for attr in attrs}
    harmless = {"Priority": ("0",), "Mail_Points": ("n",)}
    found: dict[str, str] = {}
    for name, note in STORED_ONLY.items():
        value = given.get(name, "")
        unused = name == "Mail_Users" and given.get("Mail_Points") == "n"
        if note and value and value not in harmless.get(name, ()) and not unused:
            found.setdefault(note, f"{name}={value}: {note}")
    return list(found.values())
