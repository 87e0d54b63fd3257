"""The base type, and the walk over all types."""

from __future__ import annotations

from collections.abc import Iterator

# Exit statuses, the same for all commands: 1 usage or trouble here, 2 what was given is refused, 3 no server.
EXIT_ERROR, EXIT_REFUSED, EXIT_NO_SERVER = 1, 2, 3
# Reply codes of the batch protocol (pbs_error.h); `pbs.names` has them all, this package imports nothing.
SYSTEM, INTERNAL, BAD_VALUE, PROTOCOL = 15010, 15011, 15014, 15033


class LadderhubError(Exception):
    """What is wrong.  Each type states `remedy` (what an operator can do), `status` and `code`."""

    remedy: str = ""
    status: int = EXIT_ERROR
    code: int = INTERNAL

    def __init__(self, what: str, *, where: str = "", expected: str = "") -> None:
        super().__init__(what)
        self.what, self.where, self.expected = what, where, expected

    def __str__(self) -> str:
        text = f"{self.where}: {self.what}" if self.where else self.what
        return f"{text}; {self.expected} is meant" if self.expected else text


def iter_error_types(base: type[LadderhubError] = LadderhubError) -> Iterator[type[LadderhubError]]:
    """Every type below `base` in the modules loaded so far, each once."""
    for each in base.__subclasses__():
        yield each
        yield from iter_error_types(each)
