"""DIS, "data is strings": numbers and counted strings as the batch interface writes them.

A number is its digits behind a sign; a number of n > 1 digits is preceded by n, itself written so, until a
count of one digit comes first: 7 is `+7`, 42 is `2+42`, ten digits begin `210+`.  A string is its length as
an
unsigned number and then its bytes.
"""

from __future__ import annotations

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names

DIGITS_MOST = 19  # numbers of 64 bits


_SMALL = [b"+%d" % digit for digit in range(10)]


class DisError(LadderhubError):
    """The bytes are no DIS, or announce more than is allowed."""

    status, code = 3, names.PROTOCOL_ERROR
    remedy = "look what speaks at that address: it is no peer of the batch protocol, or its bytes are spoilt"


class NeedMore(EOFError):
    """No error but a step of reading: the buffer ends inside a value; at least `total` bytes from its start
    are needed."""

    def __init__(self, total: int) -> None:
        super().__init__(total)
        self.total = total


def number(value: int) -> bytes:
    """One signed or unsigned number."""
    if 0 <= value < 10:
        return _SMALL[value]
    digits = str(abs(value))
    if len(digits) > DIGITS_MOST:
        raise DisError(f"a number of {len(digits)} digits can't be sent")
    text = ("-" if value < 0 else "+") + digits
    count = len(digits)
    while count > 1:
        text = str(count) + text
        count = len(str(count))
    return text.encode()


def string(value: str | bytes) -> bytes:
    """One counted string; text goes as UTF-8, bytes that were no UTF-8 go back as they came."""
    data = value.encode("utf-8", "surrogateescape") if isinstance(value, str) else value
    return number(len(data)) + data


class Reader:
    """Takes values from the front of a buffer.  Raises `NeedMore` at its end and `DisError` at nonsense."""

    __slots__ = ("_data", "_most", "at")

    def __init__(self, data: bytes | bytearray, string_most: int) -> None:
        self._data, self._most, self.at = data, string_most, 0

    def signed(self) -> int:
        data, count = self._data, 1
        # Nearly all numbers have one digit, or two that say their count first.
        if data[self.at : self.at + 1] == b"+" and self.at + 1 < len(data):
            digit = data[self.at + 1] - 0x30
            if 0 <= digit <= 9:
                self.at += 2
                return digit
        while True:
            if self.at >= len(data):
                raise NeedMore(self.at + 1)
            lead = data[self.at]
            if lead in b"+-":
                self.at += 1
                digits = self._digits(count)
                return -digits if lead == 0x2D else digits
            if not 0x31 <= lead <= 0x39:
                raise DisError(f"byte {lead:#04x} where a number should begin")
            count = self._digits(count)
            if not 1 < count <= DIGITS_MOST:
                raise DisError("a number announces more digits than can be")

    def _digits(self, count: int) -> int:
        end = self.at + count
        text = bytes(self._data[self.at : end])
        if not text.isdigit() and text:
            raise DisError("a number holds what is no digit")
        if len(text) < count:
            raise NeedMore(end)
        if count > 1 and text[0] == 0x30:
            raise DisError("a number begins with a zero")
        self.at = end
        return int(text)

    def unsigned(self) -> int:
        value = self.signed()
        if value < 0:
            raise DisError("a negative number where none can be")
        return value

    def count(self, most: int) -> int:
        """A number of things to follow."""
        value = self.unsigned()
        if value > most:
            raise DisError(f"{value} things announced where at most {most} can be")
        return value

    def raw(self) -> bytes:
        size = self.unsigned()
        if size > self._most:
            raise DisError(f"a string of {size} bytes announced where at most {self._most} can be")
        end = self.at + size
        if end > len(self._data):
            raise NeedMore(end)
        data = bytes(self._data[self.at : end])
        self.at = end
        return data

    def text(self) -> str:
        return self.raw().decode("utf-8", "surrogateescape")
