"""Resource lists: `-l` as people type it, sizes and times as published, and back.

Sizes are bytes or words (`b` or `w`, 8 bytes) with `k`, `m`, `g`, `t`, `p` as powers of 1024 (POSIX `qsub
-l`);
times are seconds or `[[HH:]MM:]SS`.
"""

from __future__ import annotations

_POWERS = {"": 0, "k": 1, "m": 2, "g": 3, "t": 4, "p": 5}
WORD = 8
GIB = 1 << 30


class ResourceError(ValueError):
    """A resource that can't be read: which, what was found, what was meant."""


def parse_size(text: str, name: str = "size") -> int:
    """Bytes of `512`, `2gb`, `4mw`."""
    body = text.strip().lower()
    unit = 1
    if body.endswith("w"):
        unit, body = WORD, body[:-1]
    elif body.endswith("b"):
        body = body[:-1]
    power = 0
    if body and body[-1] in _POWERS:
        power, body = _POWERS[body[-1]], body[:-1]
    if not (body.isascii() and body.isdigit()) or len(body) > 18:
        raise ResourceError(
            f"{name}={text}: not a size; a whole number with b, kb, mb, gb or tb is meant, as 2gb"
        )
    return int(body) * unit * int(1024**power)


def format_size(size: int) -> str:
    """Bytes as the batch interface shows them."""
    for word, power in (("tb", 4), ("gb", 3), ("mb", 2), ("kb", 1)):
        if size and size % 1024**power == 0:
            return f"{size // 1024**power}{word}"
    return f"{size}b"


def parse_time(text: str, name: str = "walltime") -> int:
    """Seconds of `90`, `1:30` or `00:01:30`."""
    parts = text.strip().split(":")
    good = len(parts) <= 3 and all(part.isascii() and part.isdigit() and len(part) < 12 for part in parts)
    if not good or any(int(part) > 59 for part in parts[1:]):
        raise ResourceError(f"{name}={text}: not a time; seconds or [[HH:]MM:]SS is meant")
    seconds = 0
    for part in parts:
        seconds = seconds * 60 + int(part)
    return seconds


def parse_cpus(text: str, name: str = "ncpus") -> float:
    """Cores above 0: whole, or a fraction for small services."""
    try:
        cores = float(text)
    except ValueError:
        cores = -1.0
    if not 0 < cores < 1e6:
        raise ResourceError(f"{name}={text}: not a number of cores above 0")
    return cores


def parse_list(text: str) -> list[tuple[str, str]]:
    """`-l a=1,b=2`: names and values in order; commas inside quotes belong to the value."""
    items: list[tuple[str, str]] = []
    quote, start = "", 0
    pieces = []
    for at, char in enumerate(text):
        if quote:
            quote = "" if char == quote else quote
        elif char in "'\"":
            quote = char
        elif char == ",":
            pieces.append(text[start:at])
            start = at + 1
    pieces.append(text[start:])
    if quote:
        raise ResourceError(f"{text}: a quote is not closed")
    for piece in pieces:
        name, equals, value = piece.strip().partition("=")
        if not name:
            raise ResourceError(f"{text}: an empty resource; name=value is meant")
        if not equals and name != "nodes":
            raise ResourceError(f"{name}: no value; {name}=value is meant")
        items.append((name, value.strip("'\"")))
    return items


def wanted(resources: dict[str, str]) -> tuple[float, int, int]:
    """Cores, bytes of memory and seconds of walltime (0: none named) of a job's `Resource_List`.

    `select=1:ncpus=C:mem=M` and `nodes=1:ppn=P` are read as one chunk on one node; more is refused, since a
    task here runs on one machine."""
    cores, memory, walltime = 1.0, 0, 0
    for name, value in resources.items():
        if name == "ncpus":
            cores = parse_cpus(value)
        elif name in ("mem", "pmem", "vmem"):
            memory = max(memory, parse_size(value, name))
        elif name in ("walltime", "cput"):
            walltime = parse_time(value, name) if name == "walltime" else walltime
        elif name in ("select", "nodes"):
            count, *parts = value.split(":")
            if count != "1":
                raise ResourceError(f"{name}={value}: one chunk on one node is meant, as {name}=1:...")
            for part in parts:
                key, _, amount = part.partition("=")
                if key in ("ncpus", "ppn"):
                    cores = parse_cpus(amount, key)
                elif key == "mem":
                    memory = parse_size(amount, key)
                elif not amount and name == "nodes":
                    raise ResourceError(f"{name}={value}: node properties are not known here")
                else:
                    raise ResourceError(f"{name}={value}: {key} is not known; ncpus, ppn and mem are")
        elif name not in ("service", "arch", "nice", "file", "place"):
            raise ResourceError(
                f"{name}: unknown resource; ncpus, mem, walltime, select, nodes, service are known"
            )
    return cores, memory, walltime
