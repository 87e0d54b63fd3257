"""The other schedulers: membership as a part of the daemon.  Loaded only where the settings name peers."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from ladderhub.errors.tally import Spoilt
from ladderhub.interface import SeatShare
from ladderhub.membership import MemberSettings, Seats, SeatSettings, SeatsHeld, Share, Stop, Told, Views
from ladderhub.membership.types import Change, Event
from ladderhub.pbs.batch import Attr
from ladderhub.peers.carrier import PeerCarrier
from ladderhub.server.lasting import SpoolError, write_lasting
from ladderhub.server.settings import PeerPlaces
from ladderhub.server.site import Site
from ladderhub.usage.processor import Cause

SAVE_NS = 5_000_000_000


class _Past(msgspec.Struct):
    """What one life leaves to the next: its number, and where peers were."""

    life: int = 0
    peers: list[str] = []


class Past:
    """The file that holds it."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "peers.json"
        try:
            self._kept: _Past = msgspec.json.decode(self._path.read_bytes(), type=_Past)
        except FileNotFoundError:
            self._kept = _Past()
        except msgspec.MsgspecError as fault:
            raise SpoolError(str(fault), where=str(self._path), meant="what the scheduler left") from None
        # Grows also where the wall clock was set back; kept before anybody is told of it.
        self.life = max(time.time_ns(), self._kept.life + 1)
        self.peers = self._kept.peers
        self.keep(self.peers)

    def keep(self, peers: list[str]) -> None:
        self._kept = _Past(self.life, peers)
        write_lasting(self._path, msgspec.json.encode(self._kept))


class Fellowship:
    """A part of the daemon: who else is there, told in the log, by gauges and in the server's status."""

    def __init__(self, site: Site, places: PeerPlaces) -> None:
        self._site, self._places = site, places
        self._past = Past(site.folder)
        known = tuple(self._past.peers)
        settings = MemberSettings(
            site.name, self._past.life, places.advertise, places.seeds, known, places.period_ns
        )
        self.views = Views(settings, site.settings.file.seed)
        self.seats: Seats | None = None
        self._tell_seats: Callable[[Event | Share], None] | None = None
        self._carrier: PeerCarrier | None = None
        self._closed = False
        gauge = site.metrics.gauge
        gauge("members", "Schedulers in the view, this one among them", lambda: len(self.views.members()))
        gauge("members_suspected", "Of those it watches", lambda: len(self.views.suspected()))
        gauge("membership_sure", "1 while peers confirm the view", lambda: float(self.sure()))
        gauge("peer_datagrams_spoilt", "Datagrams that were no message", self._spoilt_total)
        gauge("peer_datagrams_unsent", "Datagrams that the system did not take", self._unsent)
        site.status_rows.append(self.rows)

    def sure(self) -> bool:
        return self.views.sure and self.views.yielded is None

    def _spoilt_total(self) -> float:
        return float(sum(self._carrier.tally.total.values())) if self._carrier is not None else 0.0

    def _unsent(self) -> float:
        return float(self._carrier.datagrams.unsent) if self._carrier is not None else 0.0

    def rows(self) -> list[Attr]:
        """Of the server's status."""
        suspected = set(self.views.suspected())
        names = sorted(entry.name for entry in self.views.members())
        shown = ", ".join(f"{name} (suspected)" if name in suspected else name for name in names)
        state = "yielded" if self.views.yielded is not None else "sure" if self.views.sure else "unsure"
        return [Attr("members", shown), Attr("membership", state)]

    # --- as a part --------------------------------------------------------------------------------------

    def start(self) -> None:
        self._site.processor.run(Cause.PEERS, self._start)

    def _start(self) -> None:
        loop, places = self._site.loop, self._places
        carrier = PeerCarrier(
            loop, places.listen, places.cluster, self.views, self._told, self._spoilt, self._site.traffic
        )
        self._carrier = carrier
        if places.electors:
            self._start_seats(carrier)
        self._site.log.info("peers", life=self._past.life, address=places.advertise, seeds=len(places.seeds))
        carrier.join(self._site.board.add(self.views, carrier))
        loop.call_later(SAVE_NS, self._save)

    def _start_seats(self, carrier: PeerCarrier) -> None:
        """From here on seats are lent, and none is held before electors say so."""
        site, places, module = self._site, self._places, self._site.settings.module
        settings = SeatSettings(
            site.name, self._past.life, places.advertise, module.schedulers, places.electors, places.lease_ns,
            module.cold_window_ns,
        )  # fmt: skip
        self.seats = Seats(settings, site.settings.file.seed, site.loop.now_ns())
        site.tell_module(SeatShare((), -1))
        carrier.on_seats, carrier.on_look = self._held, self._look
        self._tell_seats = site.board.add(self.seats, carrier)
        carrier.tell_seats = self._tell_seats
        site.metrics.gauge("seats_held", "Slots of the cold budget that may be used", self._seats_held)

    def _look(self) -> None:
        if self._tell_seats is not None:
            names = sorted(entry.name for entry in self.views.members())
            self._tell_seats(Share(len(names), names.index(self._site.name), self.sure()))

    def _held(self, held: SeatsHeld) -> None:
        self._site.tell_module(SeatShare(held.slots, held.until_ns))
        self._site.log.debug("seats", slots=held.slots, until_ns=held.until_ns)

    def _seats_held(self) -> float:
        return float(len(self.seats.usable(self._site.loop.now_ns())[0])) if self.seats is not None else 0.0

    def stop(self, now: bool) -> None:
        return

    def owes(self) -> int:
        return 0

    def close(self) -> None:
        self._closed = True
        if self._carrier is not None:
            if self._tell_seats is not None:
                self._tell_seats(Stop())
            self._carrier.leave()

    def _save(self) -> None:
        """Where peers are is worth a file: after a restart of all it is how a fleet comes together again."""
        if self._closed:
            return
        peers = self.views.addresses()
        if peers and peers != self._past.peers:
            self._past.peers = peers
            self._past.keep(peers)
        self._site.loop.call_later(SAVE_NS, self._save)

    def _told(self, told: Told) -> None:
        bad = told.change in (Change.DUPLICATE, Change.YIELDED, Change.SELF_GONE, Change.UNSURE)
        log = self._site.log.warning if bad else self._site.log.info
        log("member", change=told.change.value, member=told.name, life=told.life, cause=told.cause)

    def _spoilt(self, row: Spoilt) -> None:
        self._site.log.warning("spoilt", kind=row.kind, peer=row.peer, count=row.count)
