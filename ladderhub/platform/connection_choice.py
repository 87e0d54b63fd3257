"""Chooses the connection to a machine that a set-up is sent on."""

from __future__ import annotations

from collections.abc import Sequence

from ladderhub.platform.conn import Conn, Offer

CLOSE_RACE_NS = 50_000_000  # by the protocol a close and a set-up may cross for this long


def find_idle(conns: Sequence[Conn], offer: Offer, now_ns: int, idle_timeout_ns: int) -> Conn | None:
    """The newest idle connection that may be reused.

    Machines close connections that were unused for `idle_timeout_ns`.  One that is about to be closed is not
    returned: a set-up that crosses the close may have run."""
    for conn in reversed(conns):
        fit = conn.reusable and conn.is_idle() and conn.ping_timer is None and conn.can_carry(offer)
        fit = fit and not _is_stale(conn, now_ns, idle_timeout_ns)
        if fit and conn.stream is not None and not conn.stream.is_at_eof():
            return conn
    return None


def _is_stale(conn: Conn, now_ns: int, idle_timeout_ns: int) -> bool:
    """Whether it was unused for nearly as long as the machine keeps an idle connection open."""
    return now_ns - conn.last_used_ns >= max(idle_timeout_ns - CLOSE_RACE_NS, idle_timeout_ns // 2)


def find_shareable(conns: Sequence[Conn], offer: Offer, recently_heard: bool) -> Conn | None:
    """The least loaded connection, up or being opened, whose open set-ups are all repeatable.

    `recently_heard`: the machine was heard from within the last ping interval."""
    fit: list[Conn] = []
    for conn in conns:
        unverified = not conn.is_live() or conn.ping_timer is not None  # nothing is written on it yet
        available = conn.reusable and not conn.closing and conn.can_carry(offer)
        usable = available and not conn.reader.pending() and (unverified or recently_heard)
        if usable and conn.open_offers and all(other.repeatable for other in conn.open_offers.values()):
            fit.append(conn)
    return _pick_least_loaded(fit)


def find_least_loaded(conns: Sequence[Conn], offer: Offer) -> Conn | None:
    """The least loaded live connection, for when no new one can be opened."""
    fit = [conn for conn in conns if conn.is_live() and conn.can_carry(offer) and not conn.reader.pending()]
    return _pick_least_loaded(fit)


def _pick_least_loaded(conns: list[Conn]) -> Conn | None:
    return min(conns, key=lambda conn: len(conn.open_offers)) if conns else None
