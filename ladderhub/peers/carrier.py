"""Carries out what membership decides: datagrams, one timer, and word of changes.  Decides nothing."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.errors.base import SYSTEM, LadderhubError
from ladderhub.errors.tally import Spoilt, Tally
from ladderhub.loop import Loop, Timer, parse_address
from ladderhub.loop.datagram import Datagrams
from ladderhub.loop.stream import Address
from ladderhub.membership.messages import SeatMessage
from ladderhub.membership.types import Action, Event, Heard, Say, SeatsHeld, Stop, Tick, Told, WakeAt
from ladderhub.membership.views import Views
from ladderhub.peers.wire import VERSION, Frame, decode, encode, mark_of
from ladderhub.usage.traffic import UNREADABLE, Traffic

TELL_NS = 1_000_000_000


class PeerError(LadderhubError):
    """The address for peers can't be had."""

    status, code = 1, SYSTEM
    remedy = "look who holds that UDP port on this host, or give `peers.listen` another address"


class PeerCarrier:
    """One scheduler's end among its peers.

    `on_told` hears of each change of the view, `on_spoilt` once a second of what came and was no message.
    `PeerError` where the address can't be had."""

    def __init__(
        self, loop: Loop, address: Address, cluster: str, views: Views, on_told: Callable[[Told], None],
        on_spoilt: Callable[[Spoilt], None], traffic: Traffic | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.views = loop, views
        self.tally = Tally()
        self.traffic = traffic or Traffic()
        self._mark = mark_of(cluster)
        self._on_told, self._on_spoilt = on_told, on_spoilt
        self._tell: Callable[[Event], None] = _nobody
        self.tell_seats: Callable[[Event], None] | None = None  # where seats are dealt out among peers
        self.on_seats: Callable[[SeatsHeld], None] | None = None
        self.on_look: Callable[[], None] | None = None
        self._timer: Timer | None = None
        self._places: dict[str, Address] = {}
        try:
            self.datagrams = Datagrams(loop, address, self._received)
        except OSError as fault:
            where = "peers.listen: {}:{}".format(*address)
            raise PeerError(str(fault.strerror or fault), where=where) from None
        self._tells = loop.call_later(TELL_NS, self._tell_spoilt)

    def join(self, tell: Callable[[Event], None]) -> None:
        """Begin: events go to `tell`, which brings them to the views."""
        self._tell = tell
        tell(Tick())

    def _received(self, data: bytes, source: Address) -> None:
        frame = decode(data, self._mark)
        self._count_in(frame, len(data))
        if isinstance(frame, str):
            self.tally.count(frame, "{}:{}".format(*source))
        else:
            heard = Heard(frame.name, frame.life, frame.incarnation, frame.message)
            if not isinstance(frame.message, SeatMessage):
                self._tell(heard)
            elif self.tell_seats is not None:
                self.tell_seats(heard)

    def _tell_spoilt(self) -> None:
        for row in self.tally.due(self.loop.now_ns()):
            self._on_spoilt(row)
        self._tells = self.loop.call_later(TELL_NS, self._tell_spoilt)

    # --- as a carrier -----------------------------------------------------------------------------------

    def carry(self, now_ns: int, action: Action) -> None:
        if isinstance(action, Say):
            me = self.views.me
            frame = Frame(VERSION, self._mark, me.name, me.life, me.incarnation, action.message)
            place = self._place(action.address)
            if place is not None:
                self._send(frame, place)
        elif isinstance(action, WakeAt):
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(action.at_ns, self._tell, Tick())
        elif isinstance(action, SeatsHeld):
            if self.on_seats is not None:
                self.on_seats(action)
        else:
            self._on_told(action)

    def after(self, event: Event) -> None:
        if isinstance(event, Tick) and self.on_look is not None:
            self.on_look()

    def _send(self, frame: Frame, place: Address) -> None:
        data = encode(frame)
        count = self.traffic.of_message(frame.message)
        count.messages_out += 1
        count.bytes_out += len(data)
        self.datagrams.send(data, place)

    def _count_in(self, frame: Frame | str, size: int) -> None:
        if isinstance(frame, str):
            count = self.traffic.of(UNREADABLE)
        else:
            count = self.traffic.of_message(frame.message)
        count.messages_in += 1
        count.bytes_in += size

    def _place(self, text: str) -> Address | None:
        """Addresses come from peers: what is none is not sent to."""
        if text not in self._places:
            if len(self._places) > 10_000:
                self._places.clear()
            try:
                self._places[text] = parse_address(text)
            except ValueError:
                self.tally.count("address", text)
                return None
        return self._places[text]

    def leave(self) -> None:
        """Take leave of the others, and let go of the socket."""
        self._tell(Stop())
        self.close()

    def close(self) -> None:
        for timer in (self._timer, self._tells):
            if timer is not None:
                timer.cancel()
        self.datagrams.close()


def _nobody(event: Event) -> None:
    raise RuntimeError("the carrier has not begun")
