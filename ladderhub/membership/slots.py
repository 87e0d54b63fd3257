"""Compact encoding of a set of slots, for messages."""

from __future__ import annotations

_LIST, _BITMAP = 1, 0  # a holder among many has few slots (list); a single holder has all (bitmap)
_SLOT_BYTES = 2


def encode_slots(slots: set[int], count: int) -> bytes:
    """Encode as a list or as a bitmap of `count` bits, whichever is shorter.  The result is never empty."""
    bitmap_bytes = (count + 7) // 8
    if _SLOT_BYTES * len(slots) < bitmap_bytes:
        return bytes((_LIST,)) + b"".join(slot.to_bytes(_SLOT_BYTES, "big") for slot in sorted(slots))
    return bytes((_BITMAP,)) + sum(1 << slot for slot in slots).to_bytes(bitmap_bytes, "big")


def decode_slots(encoded: bytes, count: int) -> set[int]:
    """Decode the slots below `count`; ignore anything else."""
    if encoded[:1] == bytes((_LIST,)):
        starts = range(1, len(encoded), _SLOT_BYTES)
        listed = {int.from_bytes(encoded[start : start + _SLOT_BYTES], "big") for start in starts}
        return {slot for slot in listed if slot < count}
    bitmap = int.from_bytes(encoded[1:], "big")
    return {slot for slot in range(count) if bitmap >> slot & 1} if bitmap else set()
