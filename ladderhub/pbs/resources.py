"""Resource lists: parses `-l` values, sizes and times in the published forms, and formats sizes.

Sizes are bytes (`b`) or words of 8 bytes (`w`) with `k`, `m`, `g`, `t`, `p` as powers of 1024 (POSIX
`qsub -l`).  Times are seconds or `[[HH:]MM:]SS`.
"""

from __future__ import annotations

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names

_POWERS = {"": 0, "k": 1, "m": 2, "g": 3, "t": 4, "p": 5}
WORD_BYTES = 8
GIB = 1 << 30


class ResourceError(LadderhubError):
    """An invalid resource: its name, the value found and the valid values."""

    status, code = 1, names.BAD_RESOURCE_VALUE
    remedy = "ask for the resource as the message says it is meant; docs/operators.md has those that act"


def parse_size(text: str, name: str = "size") -> int:
    """Parses a size such as `512`, `2gb` or `4mw` into bytes."""
    body = text.strip().lower()
    unit = 1
    if body.endswith("w"):
        unit, body = WORD_BYTES, body[:-1]
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
    """Formats bytes as the batch interface shows sizes."""
    for suffix, power in (("tb", 4), ("gb", 3), ("mb", 2), ("kb", 1)):
        if size and size % 1024**power == 0:
            return f"{size // 1024**power}{suffix}"
    return f"{size}b"


def parse_time(text: str, name: str = "walltime") -> int:
    """Parses a time such as `90`, `1:30` or `00:01:30` into seconds."""
    parts = text.strip().split(":")
    is_valid = len(parts) <= 3 and all(part.isascii() and part.isdigit() and len(part) < 12 for part in parts)
    if not is_valid or any(int(part) > 59 for part in parts[1:]):
        raise ResourceError(f"{name}={text}: not a time; seconds or [[HH:]MM:]SS is meant")
    seconds = 0
    for part in parts:
        seconds = seconds * 60 + int(part)
    return seconds


def parse_cpus(text: str, name: str = "ncpus") -> float:
    """Parses a number of cores above 0; it may be a fraction, for small services."""
    try:
        cores = float(text)
    except ValueError:
        cores = -1.0
    if not 0 < cores < 1e6:
        raise ResourceError(f"{name}={text}: not a number of cores above 0")
    return cores


def parse_list(text: str) -> list[tuple[str, str]]:
    """Parses `a=1,b=2` into names and values in order; commas inside quotes belong to the value."""
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


class ResourceRequest:
    """The resources a job asks for.  `cores` None and `memory` 0: not given; `walltime_s` 0: no limit."""

    __slots__ = ("cores", "memory", "mpiprocs", "ompthreads", "walltime_s")

    def __init__(self) -> None:
        self.cores: float | None = None
        self.memory = self.walltime_s = self.mpiprocs = self.ompthreads = 0


def _parse_process_count(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()) or not 0 < int(text) < 100_000:
        raise ResourceError(f"{name}={text}: a whole number above 0 is meant")
    return int(text)


def _check_place(value: str) -> None:
    """Checks `place`.  With one chunk every arrangement means one node, and nodes are shared."""
    for word in value.split(":"):
        if word in ("excl", "exclhost") or word.startswith("group="):
            raise ResourceError(f"place={value}: {word} is not served here; nodes are shared")
        if word not in ("free", "pack", "scatter", "vscatter", "shared"):
            raise ResourceError(f"place={value}: {word}: free, pack, scatter, vscatter or shared is meant")


def _parse_chunk(name: str, value: str, found: ResourceRequest) -> None:
    """Parses `select=[1:]ncpus=C:mem=M:...` or `nodes=1:ppn=P`, one chunk on one node, into `found`."""
    if "+" in value:
        raise ResourceError(f"{name}={value}: several chunks; one chunk is meant, as {name}=1:...")
    parts = value.split(":")
    if "=" not in parts[0]:
        if parts[0] != "1":
            raise ResourceError(f"{name}={value}: one chunk on one node is meant, as {name}=1:...")
        del parts[0]
    for part in parts:
        key, _, amount = part.partition("=")
        if key == ("ppn" if name == "nodes" else "ncpus"):
            found.cores = parse_cpus(amount, key)
            if name == "nodes":
                found.mpiprocs = found.mpiprocs or max(1, int(found.cores))
        elif key == "mem":
            found.memory = parse_size(amount, key)
        elif key == "mpiprocs" and name == "select":
            found.mpiprocs = _parse_process_count(amount, key)
        elif key == "ompthreads" and name == "select":
            found.ompthreads = _parse_process_count(amount, key)
        elif not amount and name == "nodes":
            raise ResourceError(f"{name}={value}: node properties are not known here")
        else:
            known = "ppn and mem" if name == "nodes" else "ncpus, mem, mpiprocs and ompthreads"
            raise ResourceError(f"{name}={value}: {key} is not known; {known} are")


def parse_resources(resources: dict[str, str]) -> ResourceRequest:
    """Parses a job's `Resource_List`; `ResourceError` names a resource that would have no effect.

    A task runs on one machine, so only one chunk is valid."""
    found = ResourceRequest()
    chunk = next((name for name in ("select", "nodes") if name in resources), "")
    for name, value in resources.items():
        if name in ("select", "nodes"):
            if name != chunk:
                raise ResourceError(f"{name}={value}: stands beside {chunk}; one of the two is meant")
            _parse_chunk(name, value, found)
        elif chunk and name in ("ncpus", "mem"):
            raise ResourceError(f"{name}={value}: stands beside {chunk}; it is meant to be part of its chunk")
        elif name == "ncpus":
            found.cores = parse_cpus(value)
        elif name in ("mem", "pmem", "vmem"):
            found.memory = max(found.memory, parse_size(value, name))
        elif name == "walltime":
            found.walltime_s = parse_time(value, name)
        elif name == "mpiprocs":
            found.mpiprocs = _parse_process_count(value, name)
        elif name == "ompthreads":
            found.ompthreads = _parse_process_count(value, name)
        elif name == "place":
            _check_place(value)
        elif name != "service":
            reason = "can't be kept" if name in ("cput", "pcput", "nice", "file", "arch") else "unknown"
            known = "ncpus, mem, walltime, select, nodes, place, ompthreads, service"
            raise ResourceError(f"{name}: {reason} here; {known} are known")
    return found
