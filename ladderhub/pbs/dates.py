"""`[[[[CC]YY]MM]DD]hhmm[.SS]`, as `qsub -a` takes it (POSIX.1-2008 `qsub`; the short forms as in OpenPBS)."""

from __future__ import annotations

import time

EXPECTED = "[[[[CC]YY]MM]DD]hhmm[.SS] is meant"


def parse_date(text: str, now_s: int) -> int:
    """Returns a local date as seconds since the epoch; `ValueError` names the valid form.

    Missing fields come from `now_s`; where that date would be past, the next day, month or year is taken."""
    digits, dot, seconds = text.partition(".")
    is_valid = digits.isascii() and digits.isdigit() and len(digits) in (4, 6, 8, 10, 12)
    if not is_valid or (dot and not (seconds.isascii() and seconds.isdigit() and len(seconds) == 2)):
        raise ValueError(f"{text}: {EXPECTED}")
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
        raise ValueError(f"{text}: no such moment; {EXPECTED}")

    def to_epoch(year: int, month: int, day: int) -> int:
        try:
            return int(time.mktime((year, month, day, hour, minute, second, 0, 0, -1)))
        except OverflowError:
            raise ValueError(f"{text}: no such moment; {EXPECTED}") from None

    found = to_epoch(year, month, day)
    if len(digits) >= 8 and time.localtime(found).tm_mon != month:
        raise ValueError(f"{text}: no such day; {EXPECTED}")
    if found < now_s and len(digits) < 10:
        next_date = {4: (year, month, day + 1), 6: (year, month + 1, day), 8: (year + 1, month, day)}
        found = to_epoch(*next_date[len(digits)])
    return found
