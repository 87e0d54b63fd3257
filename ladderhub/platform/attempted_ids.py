"""The ids of set-ups that may have run, for those that are asked for again under the same id."""

from __future__ import annotations

from collections import OrderedDict

S = 1_000_000_000
# An owner gives each set-up a new id, so an id that comes again is a late copy.  A copy comes within the
# longest time that an owner waits for an answer, and some time on the way.
REMEMBERED_NS = 30 * S
MAX_IDS = 16_384  # the oldest are forgotten first


class AttemptedIds:
    """Ids of set-ups that must not be started twice and may have run, with when that was."""

    def __init__(self) -> None:
        self._added_ns: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._added_ns)

    def add(self, now_ns: int, id: str) -> None:
        """Remember that a set-up with this id may have run."""
        self._added_ns[id] = now_ns
        self._added_ns.move_to_end(id)
        oldest = next(iter(self._added_ns))
        while len(self._added_ns) > MAX_IDS or now_ns - self._added_ns[oldest] > REMEMBERED_NS:
            del self._added_ns[oldest]
            oldest = next(iter(self._added_ns))

    def is_known(self, now_ns: int, id: str) -> bool:
        """Whether a set-up with this id may have run lately."""
        added_ns = self._added_ns.get(id)
        return added_ns is not None and now_ns - added_ns <= REMEMBERED_NS
