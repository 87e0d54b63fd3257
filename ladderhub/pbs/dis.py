"""DIS ("data is strings"): the encoding of numbers and counted strings in the batch interface.

A number is a sign and its digits.  A number of n > 1 digits is preceded by n, encoded the same way, until a
count of one digit comes first: 7 is `+7`, 42 is `2+42`, a number of ten digits begins `210+`.  A string is
its length as an unsigned number, followed by its bytes.
"""

from __future__ import annotations

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names

MAX_DIGITS = 19  # numbers of 64 bits


_ONE_DIGIT_NUMBERS = [b"+%d" % digit for digit in range(10)]


class DisError(LadderhubError):
    """The bytes are not valid DIS, or announce more than is allowed."""

    status, code = 3, names.PROTOCOL_ERROR
    remedy = "look what speaks at that address: it is no peer of the batch protocol, or its bytes are spoilt"


class NeedMore(EOFError):
    """The buffer ends inside a value; at least `total` bytes from its start are needed.

    This is no error: the caller reads again once more bytes have arrived."""

    def __init__(self, total: int) -> None:
        super().__init__(total)
        self.total = total


def encode_number(value: int) -> bytes:
    """Encodes a signed or unsigned number."""
    if 0 <= value < 10:
        return _ONE_DIGIT_NUMBERS[value]
    digits = str(abs(value))
    if len(digits) > MAX_DIGITS:
        raise DisError(f"a number of {len(digits)} digits can't be sent")
    text = ("-" if value < 0 else "+") + digits
    count = len(digits)
    while count > 1:
        text = str(count) + text
        count = len(str(count))
    return text.encode()


def encode_string(value: str | bytes) -> bytes:
    """Encodes a counted string as UTF-8; bytes that were decoded from invalid UTF-8 are restored."""
    data = value.encode("utf-8", "surrogateescape") if isinstance(value, str) else value
    return encode_number(len(data)) + data


class Reader:
    """Reads values from a buffer.  Raises `NeedMore` at its end, `DisError` at invalid bytes."""

    __slots__ = ("_data", "_max_string_bytes", "position")

    def __init__(self, data: bytes | bytearray, max_string_bytes: int) -> None:
        self._data, self._max_string_bytes, self.position = data, max_string_bytes, 0

    def read_signed(self) -> int:
        """Reads a number."""
        data, count = self._data, 1
        # Fast path for one digit: nearly all numbers have one or two digits.
        if data[self.position : self.position + 1] == b"+" and self.position + 1 < len(data):
            digit = data[self.position + 1] - 0x30
            if 0 <= digit <= 9:
                self.position += 2
                return digit
        while True:
            if self.position >= len(data):
                raise NeedMore(self.position + 1)
            lead = data[self.position]
            if lead in b"+-":
                self.position += 1
                digits = self._read_digits(count)
                return -digits if lead == 0x2D else digits
            if not 0x31 <= lead <= 0x39:
                raise DisError(f"byte {lead:#04x} where a number should begin")
            count = self._read_digits(count)
            if not 1 < count <= MAX_DIGITS:
                raise DisError("a number announces more digits than can be")

    def _read_digits(self, count: int) -> int:
        end = self.position + count
        text = bytes(self._data[self.position : end])
        if not text.isdigit() and text:
            raise DisError("a number holds what is no digit")
        if len(text) < count:
            raise NeedMore(end)
        if count > 1 and text[0] == 0x30:
            raise DisError("a number begins with a zero")
        self.position = end
        return int(text)

    def read_unsigned(self) -> int:
        """Reads a number that can't be negative."""
        value = self.read_signed()
        if value < 0:
            raise DisError("a negative number where none can be")
        return value

    def read_count(self, limit: int) -> int:
        """Reads a number from 0 to `limit`, such as the count of the items that follow."""
        value = self.read_unsigned()
        if value > limit:
            raise DisError(f"{value} things announced where at most {limit} can be")
        return value

    def read_bytes(self) -> bytes:
        """Reads a counted string as bytes."""
        size = self.read_unsigned()
        if size > self._max_string_bytes:
            raise DisError(
                f"a string of {size} bytes announced where at most {self._max_string_bytes} can be"
            )
        end = self.position + size
        if end > len(self._data):
            raise NeedMore(end)
        data = bytes(self._data[self.position : end])
        self.position = end
        return data

    def read_text(self) -> str:
        """Reads a counted string as text; invalid UTF-8 is kept by surrogate escapes."""
        return self.read_bytes().decode("utf-8", "surrogateescape")
