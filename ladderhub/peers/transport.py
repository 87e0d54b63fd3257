"""Carries out the actions of the membership decisions: sends datagrams, sets a timer, reports changes."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.errors.base import SYSTEM, LadderhubError
from ladderhub.errors.tally import MalformedInputCount, MalformedInputTally
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
from ladderhub.revision import types as revision_types
from ladderhub.revision.messages import Head, RevisionMessage
from ladderhub.usage.traffic import UNREADABLE, Traffic

INVALID_REPORT_INTERVAL_NS = 1_000_000_000
MAX_PARSED_ADDRESSES = 10_000  # size limit of the cache: peers choose which addresses we see
TellRevisions = Callable[[revision_types.Event, str], None]  # gets an event and the name of its sender
INVALID_ADDRESS = "address"  # kind under which invalid addresses are counted


class PeerError(LadderhubError):
    """The UDP address for peers cannot be bound."""

    status, code = 1, SYSTEM
    remedy = "look who holds that UDP port on this host, or give `peers.listen` another address"


class PeerTransport:
    """Connects the membership decisions to the peers over UDP; an `ActionExecutor` of `ladderhub.dispatcher`.

    `on_change` is called with each change of the view, and `on_invalid` once a second with the counts of
    invalid datagrams and addresses.  Raises `PeerError` if the address cannot be bound."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        cluster: str,
        view: MembershipView,
        on_change: Callable[[MemberChanged], None],
        on_invalid: Callable[[MalformedInputCount], None],
        traffic: Traffic | None = None,
    ) -> None:
        self.loop, self.view = loop, view
        self.tally = MalformedInputTally()
        self.traffic = traffic or Traffic()
        self._cluster_tag = cluster_tag(cluster)
        self._on_change, self._on_invalid = on_change, on_invalid
        self._tell_view: Callable[[Event], None] = _raise_not_joined
        self.tell_leases: Callable[[Event], None] | None = None  # set if leases are used
        self.on_leases: Callable[[LeasesHeld], None] | None = None
        self.on_tick: Callable[[], None] | None = None
        self.on_members: Callable[[], None] | None = None  # called after the view has changed
        self.tell_revisions: TellRevisions | None = None
        self.get_head: Callable[[], Head] | None = None  # its result is added to every frame
        self._members_changed = False
        self._tick_timer: Timer | None = None
        self._parsed_addresses: dict[str, Address] = {}
        try:
            self.datagrams = Datagrams(loop, address, self._on_datagram)
        except OSError as fault:
            where = "peers.listen: {}:{}".format(*address)
            raise PeerError(str(fault.strerror or fault), where=where) from None
        self._report_timer = loop.call_later(INVALID_REPORT_INTERVAL_NS, self._report_invalid)

    def join(self, tell: Callable[[Event], None]) -> None:
        """Start.  Events are passed to `tell`, which delivers them to the view."""
        self._tell_view = tell
        tell(Tick())

    def _on_datagram(self, data: bytes, source: Address) -> None:
        frame = decode(data, self._cluster_tag)
        self._count_received(frame, len(data))
        if isinstance(frame, FrameFault):
            self.tally.count(frame.value, "{}:{}".format(*source))
            return
        self._dispatch_frame(frame)

    def _dispatch_frame(self, frame: Frame) -> None:
        if self.tell_revisions is not None and frame.name != self.view.self_entry.name:
            self._dispatch_to_revisions(frame, self.tell_revisions)
        message = frame.message
        if isinstance(message, RevisionMessage):
            return
        received = MessageReceived(frame.name, frame.life, frame.incarnation, message)
        if not isinstance(message, LeaseMessage):
            self._tell_view(received)
        elif self.tell_leases is not None:
            self.tell_leases(received)

    def _dispatch_to_revisions(self, frame: Frame, tell: TellRevisions) -> None:
        if frame.head is not None:
            address = self.view.address_of(frame.name, frame.life)
            if address is not None:
                tell(revision_types.HeadSeen(address, frame.head), frame.name)
        if isinstance(frame.message, RevisionMessage):
            received = revision_types.MessageReceived(frame.name, frame.life, frame.message)
            tell(received, frame.name)

    def _report_invalid(self) -> None:
        for row in self.tally.take_due(self.loop.now_ns()):
            self._on_invalid(row)
        self._report_timer = self.loop.call_later(INVALID_REPORT_INTERVAL_NS, self._report_invalid)

    # --- as an `ActionExecutor` -------------------------------------------------------------------------

    def execute(self, now_ns: int, action: Action) -> None:
        if isinstance(action, SendMessage):
            self.send(action.address, action.message)
        elif isinstance(action, WakeAt):
            if self._tick_timer is not None:
                self._tick_timer.cancel()
            self._tick_timer = self.loop.call_at(action.at_ns, self.call_when_read, self._tick)
        elif isinstance(action, LeasesHeld):
            if self.on_leases is not None:
                self.on_leases(action)
        else:
            self._members_changed = True
            self._on_change(action)

    def call_when_read(self, call: Callable[[], None]) -> None:
        """Call once the datagrams that have arrived by now are handled.

        A late tick must not count answers as missing that are only unread."""
        self.loop.call_when_read(self.datagrams.sock.fileno(), self._call_if_open, call)

    def _call_if_open(self, call: Callable[[], None]) -> None:
        if self.datagrams.sock.fileno() >= 0:
            call()

    def _tick(self) -> None:
        self._tell_view(Tick())

    def on_handled(self, event: Event) -> None:
        """Call the hooks for a changed view and for a tick."""
        if self._members_changed:
            self._members_changed = False
            if self.on_members is not None:
                self.on_members()
        if isinstance(event, Tick) and self.on_tick is not None:
            self.on_tick()

    def send(self, address: str, message: Message | RevisionMessage) -> None:
        """Send one message in a frame.  Delivery is not guaranteed."""
        sender, head = self.view.self_entry, self.get_head() if self.get_head is not None else None
        frame = Frame(
            VERSION, self._cluster_tag, sender.name, sender.life, sender.incarnation, message, head
        )  # fmt: skip
        parsed = self._parse_address(address)
        if parsed is not None:
            data = encode(frame)
            count = self.traffic.of_message(message)
            count.messages_out += 1
            count.bytes_out += len(data)
            self.datagrams.send(data, parsed)

    def _count_received(self, frame: Frame | FrameFault, size: int) -> None:
        traffic = self.traffic
        count = traffic.of_message(frame.message) if isinstance(frame, Frame) else traffic.of(UNREADABLE)
        count.messages_in += 1
        count.bytes_in += size

    def _parse_address(self, address: str) -> Address | None:
        """Parse an address received from a peer.  An invalid one is counted and gives None."""
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
        """Leave the group and close the socket."""
        self._tell_view(Stop())
        self.close()

    def close(self) -> None:
        for timer in (self._tick_timer, self._report_timer):
            if timer is not None:
                timer.cancel()
        self.datagrams.close()


def _raise_not_joined(event: Event) -> None:
    raise RuntimeError("an event was passed on before join() was called")
