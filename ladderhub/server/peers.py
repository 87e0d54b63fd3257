"""Membership and leases: the component of the daemon.  Loaded only if the settings name peers."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from ladderhub.errors.tally import MalformedInputCount
from ladderhub.interface import SeatShare
from ladderhub.membership import (
    LeaseHolder,
    LeaseSettings,
    LeasesHeld,
    MemberChanged,
    MemberSettings,
    MembershipSummary,
    MembershipView,
    Stop,
)
from ladderhub.membership.types import Change, Event
from ladderhub.pbs.batch import Attr
from ladderhub.peers.transport import PeerTransport
from ladderhub.server.context import DaemonContext
from ladderhub.server.settings import PeerSettings
from ladderhub.server.spool import SpoolError, write_durably
from ladderhub.usage.processor import Cause

SAVE_INTERVAL_NS = 5_000_000_000
_WARNED_CHANGES = (Change.DUPLICATE, Change.YIELDED, Change.REPORTED_GONE, Change.UNCONFIRMED)


class _PeerState(msgspec.Struct):
    """The stored state: number of the latest life, and the addresses of its peers."""

    life: int = 0
    peers: list[str] = []


class PeerStateFile:
    """The state file in the spool folder.  Each time it is opened, a new life begins."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "peers.json"
        try:
            state: _PeerState = msgspec.json.decode(self._path.read_bytes(), type=_PeerState)
        except FileNotFoundError:
            state = _PeerState()
        except msgspec.MsgspecError as fault:
            raise SpoolError(str(fault), where=str(self._path), expected="what the scheduler left") from None
        # Increases even if the wall clock was set back; saved before any peer sees it.
        self.life = max(time.time_ns(), state.life + 1)
        self.peers = state.peers
        self.save(self.peers)

    def save(self, peers: list[str]) -> None:
        """Store these addresses with the current life."""
        self.peers = peers
        write_durably(self._path, msgspec.json.encode(_PeerState(self.life, peers)))


class PeerService:
    """Membership and leases of this scheduler; reported in the log, in gauges and in the server's status."""

    def __init__(self, context: DaemonContext, settings: PeerSettings) -> None:
        self._context, self._settings = context, settings
        self._state_file = PeerStateFile(context.folder)
        self.view = MembershipView(self._build_member_settings(), context.settings.file.seed)
        self.leases: LeaseHolder | None = None
        self._tell_leases: Callable[[Event | MembershipSummary], None] | None = None
        self._transport: PeerTransport | None = None
        self._closed = False
        self._add_gauges()
        context.status_sources.append(self.build_status_rows)

    def _build_member_settings(self) -> MemberSettings:
        settings, state = self._settings, self._state_file
        known = tuple(state.peers)
        return MemberSettings(
            self._context.name, state.life, settings.advertise, settings.seeds, known, settings.period_ns
        )

    def _add_gauges(self) -> None:
        gauge = self._context.metrics.add_gauge
        gauge("members", "Schedulers in the view, this one among them", lambda: len(self.view.members()))
        gauge("members_suspected", "Of those it watches", lambda: len(self.view.get_suspected_names()))
        gauge("membership_sure", "1 while peers confirm the view", lambda: float(self.is_confirmed()))
        gauge("peer_datagrams_spoilt", "Datagrams that were no message", self._count_invalid_datagrams)
        gauge("peer_datagrams_unsent", "Datagrams that the system did not take", self._count_unsent_datagrams)

    def is_confirmed(self) -> bool:
        """Whether peers confirm the view and this process has not yielded its name to an older one."""
        return self.view.confirmed and self.view.yielded_to is None

    def _count_invalid_datagrams(self) -> float:
        return float(sum(self._transport.tally.total.values())) if self._transport is not None else 0.0

    def _count_unsent_datagrams(self) -> float:
        return float(self._transport.datagrams.unsent) if self._transport is not None else 0.0

    @property
    def life(self) -> int:
        return self._state_file.life

    @property
    def address(self) -> str:
        return self._settings.advertise

    @property
    def voters(self) -> tuple[str, ...]:
        return self._settings.voters

    @property
    def transport(self) -> PeerTransport:
        """The transport; it exists once the service has started."""
        assert self._transport is not None
        return self._transport

    def get_member_names(self) -> list[str]:
        """Return the names of the schedulers in the view, including this one."""
        return sorted(entry.name for entry in self.view.members())

    def build_status_rows(self) -> list[Attr]:
        """Return the rows on membership for the server's status."""
        suspected = set(self.view.get_suspected_names())
        shown = [f"{name} (suspected)" if name in suspected else name for name in self.get_member_names()]
        return [Attr("members", ", ".join(shown)), Attr("membership", self._get_state_name())]

    def _get_state_name(self) -> str:
        if self.view.yielded_to is not None:
            return "yielded"
        return "sure" if self.view.confirmed else "unsure"

    # --- component of the daemon ------------------------------------------------------------------------

    def start(self) -> None:
        self._context.processor.run(Cause.PEERS, self._start)

    def _start(self) -> None:
        context, settings = self._context, self._settings
        transport = PeerTransport(
            context.loop,
            settings.listen,
            settings.cluster,
            self.view,
            self._log_change,
            self._log_invalid,
            context.traffic,
        )
        self._transport = transport
        if settings.voters:
            self._start_leases(transport)
        life = self._state_file.life
        context.log.info("peers", life=life, address=settings.advertise, seeds=len(settings.seeds))
        transport.join(context.dispatcher.register(self.view, transport))
        context.loop.call_later(SAVE_INTERVAL_NS, self._save)

    def _start_leases(self, transport: PeerTransport) -> None:
        """Start leases: from now on a slot is used only after the voters granted its lease."""
        context = self._context
        self.leases = LeaseHolder(
            self._build_lease_settings(), context.settings.file.seed, context.loop.now_ns()
        )
        context.tell_module(SeatShare((), -1))
        transport.on_leases, transport.on_tick = self._on_leases, self._on_tick
        self._tell_leases = context.dispatcher.register(self.leases, transport)
        transport.tell_leases = self._tell_leases
        context.metrics.add_gauge(
            "seats_held", "Slots of the cold budget that may be used", self._count_usable_slots
        )

    def _build_lease_settings(self) -> LeaseSettings:
        settings, loaded = self._settings, self._context.settings
        return LeaseSettings(
            name=self._context.name,
            life=self._state_file.life,
            address=settings.advertise,
            slots=loaded.module.schedulers,
            voters=settings.voters,
            lease_ns=settings.lease_ns,
            window_ns=loaded.lease_cooldown_ns,
        )

    def _on_tick(self) -> None:
        if self._tell_leases is not None:
            names = self.get_member_names()
            rank = names.index(self._context.name)
            self._tell_leases(MembershipSummary(len(names), rank, self.is_confirmed()))

    def _on_leases(self, held: LeasesHeld) -> None:
        self._context.tell_module(SeatShare(held.slots, held.until_ns))
        self._context.log.debug("seats", slots=held.slots, until_ns=held.until_ns)

    def _count_usable_slots(self) -> float:
        return (
            float(len(self.leases.get_usable_leases(self._context.loop.now_ns()).slots))
            if self.leases is not None
            else 0.0
        )

    def stop(self, now: bool) -> None:
        return

    def count_unsettled(self) -> int:
        return 0

    def close(self) -> None:
        self._closed = True
        if self._transport is not None:
            if self._tell_leases is not None:
                self._tell_leases(Stop())
            self._transport.leave()

    def _save(self) -> None:
        """Save the addresses of peers, so that schedulers find each other if all of them restart."""
        if self._closed:
            return
        peers = self.view.get_peer_addresses()
        if peers and peers != self._state_file.peers:
            self._state_file.save(peers)
        self._context.loop.call_later(SAVE_INTERVAL_NS, self._save)

    def _log_change(self, change: MemberChanged) -> None:
        log = self._context.log.warning if change.change in _WARNED_CHANGES else self._context.log.info
        log("member", change=change.change.value, member=change.name, life=change.life, cause=change.cause)

    def _log_invalid(self, row: MalformedInputCount) -> None:
        self._context.log.warning("spoilt", kind=row.kind, peer=row.peer, count=row.count)
