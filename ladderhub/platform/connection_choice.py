"""Which of a machine's connections may carry a set-up."""

from __future__ import annotations

from collections.abc import Sequence

from ladderhub.platform.conn import Conn, Offer

CLOSE_RACE_NS = 50_000_000  # a close may cross a set-up for so long, by the protocol


def find_idle(conns: Sequence[Conn], offer: Offer, now_ns: int, idle_ns: int) -> Conn | None:
    """One that nothing is open on and on which all went well.  Machines close connections that were left
    unused for `idle_ns`.

    Danger: what is written across such a close may have run."""
    for conn in reversed(conns):
        fit = conn.reusable and conn.is_idle() and conn.ping_timer is None and conn.can_carry(offer)
        fit = fit and not _is_stale(conn, now_ns, idle_ns)
        if fit and conn.stream is not None and not conn.stream.ended():
            return conn
    return None


def _is_stale(conn: Conn, now_ns: int, idle_ns: int) -> bool:
    """Left unused for nearly as long as the machine leaves one open."""
    return now_ns - conn.last_used_ns >= max(idle_ns - CLOSE_RACE_NS, idle_ns // 2)


def find_shareable(conns: Sequence[Conn], offer: Offer, heard: bool) -> Conn | None:
    """One, up or coming up, with none but set-ups on it that may be lost with others.  `heard`: the machine
    said something a moment ago."""
    fit: list[Conn] = []
    for conn in conns:
        waits = not conn.is_live() or conn.ping_timer is not None  # nothing is written yet
        fresh = conn.reusable and not conn.closing and conn.can_carry(offer)
        usable = fresh and not conn.reader.pending() and (waits or heard)
        if usable and conn.open_offers and all(other.repeatable for other in conn.open_offers.values()):
            fit.append(conn)
    return _pick_least_loaded(fit)


def find_least_loaded(conns: Sequence[Conn], offer: Offer) -> Conn | None:
    """The least loaded of those that are up, where no new one can be had."""
    fit = [conn for conn in conns if conn.is_live() and conn.can_carry(offer) and not conn.reader.pending()]
    return _pick_least_loaded(fit)


def _pick_least_loaded(conns: list[Conn]) -> Conn | None:
    return min(conns, key=lambda conn: len(conn.open_offers)) if conns else None
