"""Carries out the actions of the membership decisions: datagrams, one timer, reports.  Decides nothing."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.errors.base import SYSTEM, LadderhubError
from ladderhub.errors.tally import Spoilt, Tally
from ladderhub.loop import Loop, Timer, parse_address
from ladderhub.loop.datagram import Datagrams
from ladderhub.loop.stream import Address
from ladderhub.membership.messages import LeaseMessage, Message
from ladderhub.membership.types import (
    Action,
    Event,
    LeasesHeld,
    MemberChanged,
    MessageReceived,
    SendMessage,
    Stop,
    Tick,
    WakeAt,
)
from ladderhub.membership.view import MembershipView
from ladderhub.peers.wire import VERSION, Frame, FrameFault, cluster_tag, decode, encode

SPOILT_REPORT_INTERVAL_NS = 1_000_000_000
MAX_PARSED_ADDRESSES = 10_000  # kept; peers choose what addresses we are told of
INVALID_ADDRESS = "address"  # the kind under which such an address is counted


class PeerError(LadderhubError):
    """The address for peers can't be had."""

    status, code = 1, SYSTEM
    remedy = "look who holds that UDP port on this host, or give `peers.listen` another address"


class PeerCarrier:
    """One scheduler's end among its peers.

    `on_change` is called with each change of the view, `on_spoilt` once a second with what came and was no
    message.  `PeerError` where the address can't be had."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        cluster: str,
        view: MembershipView,
        on_change: Callable[[MemberChanged], None],
        on_spoilt: Callable[[Spoilt], None],
    ) -> None:
        self.loop, self.view = loop, view
        self.tally = Tally()
        self._cluster_tag = cluster_tag(cluster)
        self._on_change, self._on_spoilt = on_change, on_spoilt
        self._tell_view: Callable[[Event], None] = _not_joined
        self.tell_leases: Callable[[Event], None] | None = None  # where leases are used
        self.on_leases: Callable[[LeasesHeld], None] | None = None
        self.on_tick: Callable[[], None] | None = None
        self._tick_timer: Timer | None = None
        self._parsed_addresses: dict[str, Address] = {}
        try:
            self.datagrams = Datagrams(loop, address, self._on_datagram)
        except OSError as fault:
            where = "peers.listen: {}:{}".format(*address)
            raise PeerError(str(fault.strerror or fault), where=where) from None
        self._spoilt_timer = loop.call_later(SPOILT_REPORT_INTERVAL_NS, self._report_spoilt)

    def join(self, tell: Callable[[Event], None]) -> None:
        """Begin: events go to `tell`, which brings them to the view."""
        self._tell_view = tell
        tell(Tick())

    def _on_datagram(self, data: bytes, source: Address) -> None:
        frame = decode(data, self._cluster_tag)
        if isinstance(frame, FrameFault):
            self.tally.count(frame.value, "{}:{}".format(*source))
            return
        received = MessageReceived(frame.name, frame.life, frame.incarnation, frame.message)
        if not isinstance(frame.message, LeaseMessage):
            self._tell_view(received)
        elif self.tell_leases is not None:
            self.tell_leases(received)

    def _report_spoilt(self) -> None:
        for row in self.tally.due(self.loop.now_ns()):
            self._on_spoilt(row)
        self._spoilt_timer = self.loop.call_later(SPOILT_REPORT_INTERVAL_NS, self._report_spoilt)

    # --- as a carrier -----------------------------------------------------------------------------------

    def carry(self, now_ns: int, action: Action) -> None:
        if isinstance(action, SendMessage):
            self._send(action.address, action.message)
        elif isinstance(action, WakeAt):
            if self._tick_timer is not None:
                self._tick_timer.cancel()
            self._tick_timer = self.loop.call_at(action.at_ns, self._tell_view, Tick())
        elif isinstance(action, LeasesHeld):
            if self.on_leases is not None:
                self.on_leases(action)
        else:
            self._on_change(action)

    def after(self, event: Event) -> None:
        if isinstance(event, Tick) and self.on_tick is not None:
            self.on_tick()

    def _send(self, address: str, message: Message) -> None:
        sender = self.view.self_entry
        frame = Frame(VERSION, self._cluster_tag, sender.name, sender.life, sender.incarnation, message)
        parsed = self._parse(address)
        if parsed is not None:
            self.datagrams.send(encode(frame), parsed)

    def _parse(self, address: str) -> Address | None:
        """Addresses come from peers: what is none is counted, and not sent to."""
        if address not in self._parsed_addresses:
            if len(self._parsed_addresses) > MAX_PARSED_ADDRESSES:
                self._parsed_addresses.clear()
            try:
                self._parsed_addresses[address] = parse_address(address)
            except ValueError:
                self.tally.count(INVALID_ADDRESS, address)
                return None
        return self._parsed_addresses[address]

    def leave(self) -> None:
        """Leave the group, and close the socket."""
        self._tell_view(Stop())
        self.close()

    def close(self) -> None:
        for timer in (self._tick_timer, self._spoilt_timer):
            if timer is not None:
                timer.cancel()
        self.datagrams.close()


def _not_joined(event: Event) -> None:
    raise RuntimeError("the carrier has not joined")
