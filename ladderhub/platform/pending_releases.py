"""Releases of tasks that a machine has not confirmed yet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ladderhub.platform.conn import Conn, Offer
from ladderhub.signalling import Cause


class _Stage(Enum):
    UNSENT = "it still has to be sent"
    PROBED = "its machine was pinged, and is sent it once it has answered"
    SENT = "it was sent, with a ping behind it"


@dataclass
class PendingRelease:
    """A release that is owed to a machine, and why.

    `lost`: the attempt that was given up although its task may run; None if the release was wanted by the
    task's owner, or by the decision module."""

    cause: int
    lost: Offer | None = None
    needs_probe: bool = False  # it is not sent before its machine has answered a ping
    was_sent: bool = False  # at least once: its machine may have read it
    stage: _Stage = _Stage.UNSENT
    conn: Conn | None = None  # where it was sent last, or its machine was pinged
    ping_number: int = 0  # of the ping on that connection whose answer is waited for


class PendingReleases:
    """The releases that one machine still has to confirm, by task.

    A release may be lost with the connection it was sent on, and its task would then run for ever.  So it is
    kept until the machine reports the end of the task, and is sent again on another connection.

    That report may be lost too, and a machine says nothing about a task that it does not know.  So it is
    enough that the machine has read the release: it has when it answers a ping sent behind it.

    A release belongs to one attempt.  The owner of a task that must not be started twice looks whether it
    runs after a loss, and hands it over then, which is a new attempt: a release that was never sent is
    withdrawn.  Until then there is no hurry, so it is not sent to a machine that hangs, whose kernel would
    take it and have it read after the task was handed over.  The owner of a task that may be started twice
    asks for it again instead; a hand-over that arrives after the loss was sent before it was heard of."""

    def __init__(self) -> None:
        self._releases: dict[str, PendingRelease] = {}

    def __len__(self) -> int:
        return len(self._releases)

    def add(self, id: str, cause: int) -> None:
        """Add a release with this cause, still to be sent, which is not withdrawn any more."""
        pending = self._releases.setdefault(id, PendingRelease(cause))
        pending.lost = None
        pending.needs_probe = False
        if pending.stage is _Stage.PROBED:
            self._mark_unsent(pending)

    def add_lost(self, offer: Offer, at_once: bool = False) -> None:
        """Add the release of an attempt that was given up, though its task may run; one that is wanted
        anyhow stays as it is.  `at_once`: it is sent without waiting for a hand-over."""
        offer.discard_description()
        pending = self._releases.get(offer.id)
        if pending is None:
            needs_probe = not (offer.repeatable or at_once)
            self._releases[offer.id] = PendingRelease(Cause.NORMAL, offer, needs_probe)
        elif pending.lost is not None:
            pending.lost = offer

    def withdraw(self, id: str) -> bool:
        """The task was handed over again: drop the release of its earlier attempt, if it was never sent and
        the owner had looked whether the task runs.  Return whether it was dropped."""
        pending = self._releases.get(id)
        if pending is None or pending.lost is None or pending.lost.repeatable or pending.was_sent:
            return False
        del self._releases[id]
        return True

    def has_unsent(self) -> bool:
        """Whether a release was neither sent on a connection that is up, nor waits for a ping there."""
        return any(pending.conn is None for pending in self._releases.values())

    def is_awaited_on(self, conn: Conn) -> bool:
        """Whether an answer on this connection is waited for, to send a release or to have it confirmed."""
        return any(pending.conn is conn for pending in self._releases.values())

    def is_pending(self, id: str) -> bool:
        """Whether the release of this task is still to be confirmed."""
        return id in self._releases

    def confirm(self, id: str) -> PendingRelease | None:
        """Drop and return the release, if there is one: the machine reported the end of this task, for
        whatever reason."""
        return self._releases.pop(id, None)

    def take_read(self, conn: Conn) -> list[str]:
        """Drop the releases that the machine has read, by the pings it answered on this connection; return
        their tasks."""
        read = [
            id
            for id, pending in self._releases.items()
            if pending.stage is _Stage.SENT and _is_answered(pending, conn)
        ]
        for id in read:
            del self._releases[id]
        return read

    def record_pong(self, conn: Conn) -> None:
        """The machine answers pings on this connection, so releases that waited for that may be sent."""
        for pending in self._releases.values():
            if pending.stage is _Stage.PROBED and _is_answered(pending, conn):
                pending.needs_probe = False
                self._mark_unsent(pending)

    def mark_unsent(self, conn: Conn) -> None:
        """Have releases that were sent on this closed connection sent again: they may be lost."""
        for pending in self._releases.values():
            if pending.conn is conn:
                self._mark_unsent(pending)

    def _mark_unsent(self, pending: PendingRelease) -> None:
        pending.stage, pending.conn = _Stage.UNSENT, None

    def take_unsent(self, conn: Conn) -> list[tuple[str, int]]:
        """Return the tasks and causes to be sent now, and mark them as sent on this connection, on which the
        caller sends a ping behind them."""
        unsent = [
            (id, pending)
            for id, pending in self._releases.items()
            if pending.conn is None and not pending.needs_probe
        ]
        for _, pending in unsent:
            pending.was_sent = True
            self._await_pong(pending, conn, _Stage.SENT)
        return [(id, pending.cause) for id, pending in unsent]

    def begin_probe(self, conn: Conn) -> bool:
        """Return whether releases wait for the machine to answer a ping, which the caller sends now on this
        connection."""
        waiting = [pending for pending in self._releases.values() if pending.conn is None]
        for pending in waiting:
            self._await_pong(pending, conn, _Stage.PROBED)
        return bool(waiting)

    def _await_pong(self, pending: PendingRelease, conn: Conn, stage: _Stage) -> None:
        pending.stage, pending.conn, pending.ping_number = stage, conn, conn.pings_sent + 1

    def clear(self) -> None:
        """Drop all releases: the machine runs none of the tasks any more."""
        self._releases.clear()


def _is_answered(pending: PendingRelease, conn: Conn) -> bool:
    return pending.conn is conn and pending.ping_number <= conn.pongs_received
