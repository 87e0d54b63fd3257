"""Which of a machine's connections may carry a set-up."""

from __future__ import annotations

from collections.abc import Sequence

from ladderhub.platform.conn import Conn, Offer

CROSSING_NS = 50_000_000  # a close may cross a set-up for so long, by the protocol


def unused(conns: Sequence[Conn], offer: Offer, now_ns: int, idle_ns: int) -> Conn | None:
    """One that nothing is open on and on which all went well.  Machines close connections that were left
    unused for `idle_ns`.

    Danger: what is written across such a close may have run."""
    for conn in reversed(conns):
        fit = conn.clean and conn.idle() and conn.proof is None and conn.may_carry(offer)
        fit = fit and not _stale(conn, now_ns, idle_ns)
        if fit and conn.stream is not None and not conn.stream.ended():
            return conn
    return None


def _stale(conn: Conn, now_ns: int, idle_ns: int) -> bool:
    """Left unused for nearly as long as the machine leaves one open."""
    return now_ns - conn.used_ns >= max(idle_ns - CROSSING_NS, idle_ns // 2)


def shared(conns: Sequence[Conn], offer: Offer, heard: bool) -> Conn | None:
    """One, up or coming up, with none but set-ups on it that may be lost with others.  `heard`: the machine
    said something a moment ago."""
    fit: list[Conn] = []
    for conn in conns:
        waits = not conn.live() or conn.proof is not None  # nothing is written yet
        fresh = conn.clean and not conn.leaving and conn.may_carry(offer)
        usable = fresh and not conn.reader.pending() and (waits or heard)
        if usable and conn.open and all(other.repeatable for other in conn.open.values()):
            fit.append(conn)
    return _least_loaded(fit)


def crowded(conns: Sequence[Conn], offer: Offer) -> Conn | None:
    """The least loaded of those that are up, where no new one can be had."""
    fit = [conn for conn in conns if conn.live() and conn.may_carry(offer) and not conn.reader.pending()]
    return _least_loaded(fit)


def _least_loaded(conns: list[Conn]) -> Conn | None:
    return min(conns, key=lambda conn: len(conn.open)) if conns else None
