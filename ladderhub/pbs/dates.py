"""`[[[[CC]YY]MM]DD]hhmm[.SS]`, as `qsub -a` takes it (POSIX.1-2008 `qsub`; the short forms as in OpenPBS)."""

from __future__ import annotations

import time

MEANT = "[[[[CC]YY]MM]DD]hhmm[.SS] is meant"


def parse_date(text: str, now_s: int) -> int:
    """Seconds since the epoch of a moment in the local zone; ValueError says what was meant.

    What is left out is taken from `now_s`, and where that would be past, from the next day, month or year."""
    digits, dot, seconds = text.partition(".")
    good = digits.isascii() and digits.isdigit() and len(digits) in (4, 6, 8, 10, 12)
    if not good or (dot and not (seconds.isascii() and seconds.isdigit() and len(seconds) == 2)):
        raise ValueError(f"{text}: {MEANT}")
    now = time.localtime(now_s)
    hour, minute = int(digits[-4:-2]), int(digits[-2:])
    day = int(digits[-6:-4]) if len(digits) >= 6 else now.tm_mday
    month = int(digits[-8:-6]) if len(digits) >= 8 else now.tm_mon
    year = now.tm_year
    if len(digits) == 12:
        year = int(digits[:4])
    elif len(digits) == 10:
        year = int(digits[:2]) + (1900 if int(digits[:2]) >= 69 else 2000)
    second = int(seconds) if dot else 0
    if not (1 <= month <= 12 and 1 <= day <= 31 and hour < 24 and minute < 60 and second < 62):
        raise ValueError(f"{text}: no such moment; {MEANT}")

    def moment(year: int, month: int, day: int) -> int:
        try:
            return int(time.mktime((year, month, day, hour, minute, second, 0, 0, -1)))
        except OverflowError:
            raise ValueError(f"{text}: no such moment; {MEANT}") from None

    found = moment(year, month, day)
    if len(digits) >= 8 and time.localtime(found).tm_mon != month:
        raise ValueError(f"{text}: no such day; {MEANT}")
    if found < now_s and len(digits) < 10:
        step = {4: (year, month, day + 1), 6: (year, month + 1, day), 8: (year + 1, month, day)}
        found = moment(*step[len(digits)])
    return found
