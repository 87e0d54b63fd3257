"""The base class of all errors, and an iterator over its subclasses."""

from __future__ import annotations

from collections.abc import Iterator

# Exit statuses of all commands: 1 wrong usage or a local error, 2 the input was refused, 3 no server.
EXIT_ERROR, EXIT_REFUSED, EXIT_NO_SERVER = 1, 2, 3
# Reply codes of the batch protocol (pbs_error.h).  `pbs.names` has all of them but can't be imported here.
SYSTEM, INTERNAL, BAD_VALUE, PROTOCOL = 15010, 15011, 15014, 15033


class LadderhubError(Exception):
    """Base class of the errors: what is wrong, where, and what was expected instead.

    Each subclass defines `remedy` (what an operator can do), `status` (on exit) and `code` (in replies)."""

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
    """Yield every subclass of `base` in the modules loaded so far, each once."""
    for each in base.__subclasses__():
        yield each
        yield from iter_error_types(each)
