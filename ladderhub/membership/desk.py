"""What the parts of one member share: its view, whom it asked what, and what it says."""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec.structs import replace

from ladderhub.membership.gossip import Gossip
from ladderhub.membership.messages import Entry, Message, Ping, Status
from ladderhub.membership.rings import Id
from ladderhub.membership.table import Table, id_of
from ladderhub.membership.types import Action, Change, Heard, MemberSettings, Say, Told

OPEN_MOST = 512  # pings of ours whose answer means something beyond a sign of life
ASK_PERIODS = 1.2  # so long is an answer waited for: longer than a message and its answer are late

Answered = Callable[[int, Heard | None], None]


class Desk:
    """State and the ways to speak; no decision about anybody."""

    def __init__(self, settings: MemberSettings, seed: int) -> None:
        self.period = settings.period_ns
        self.table, self.gossip = Table(), Gossip()
        self.me = Entry(settings.name, settings.life, settings.address, 0, Status.ALIVE)
        self.my_id: Id = id_of(self.me)
        self.random = random.Random(seed)
        self.recent: dict[Id, int] = {}  # members in our view, when they last spoke to us
        self.answered = False  # somebody has answered us in this life
        self.out: list[Action] = []
        self._number = 0
        self._open: dict[int, tuple[int, Answered]] = {}
        self.table.put(0, self.me)

    def say(self, address: str, message: Message) -> None:
        if address != self.me.address:
            self.out.append(Say(address, message))

    def tell(self, change: Change, entry: Entry, cause: str) -> None:
        self.out.append(Told(change, entry.name, entry.life, cause))

    def number(self) -> int:
        self._number = (self._number + 1) % (1 << 30)
        return self._number

    def count(self) -> int:
        return len(self.table.by_name)

    def others(self) -> list[Id]:
        return [each for each in self.table.by_name.values() if each != self.my_id]

    def address(self, member: Id) -> str:
        return self.table.entries[member].address

    def spoke_since(self, member: Id, moment: int) -> bool:
        return self.recent.get(member, -1) >= moment

    def rise(self, now: int, incarnation: int) -> None:
        """Our next incarnation: it contradicts what was said of those before."""
        self.me = replace(self.me, incarnation=incarnation)
        self.table.put(now, self.me)

    def own(self) -> Entry:
        """Our entry for those who may have us as gone."""
        return replace(self.me, status=Status.RETURNING) if self.me.incarnation else self.me

    def ping(self, address: str, own: bool = False, vain: bool = False) -> int:
        """With `own` our own entry goes along: the other may not know us.  `vain`: perhaps nobody is there,
        and news told to nobody would count as told."""
        number, first = self.number(), self.own() if own else None
        news = ((first,) if first else ()) if vain else self.gossip.take(self.count(), first)
        self.say(address, Ping(number, self.table.digest, self.count(), news))
        return number

    def ask(self, now: int, target: Entry, call: Answered, own: bool = False, vain: bool = False) -> None:
        """Ping, and hear with `call` who answered, or None where nobody did in time."""
        if len(self._open) < OPEN_MOST:
            until = now + round(ASK_PERIODS * self.period)
            self._open[self.ping(target.address, own, vain)] = (until, call)

    def answer(self, now: int, number: int, heard: Heard) -> None:
        """A ping of that number is answered; late answers and those to nothing are signs of life alone."""
        if number in self._open:
            self._open.pop(number)[1](now, heard)

    def expire(self, now: int) -> None:
        for number in [each for each, (until, _) in self._open.items() if until <= now]:
            self._open.pop(number)[1](now, None)

    def drop_asks(self) -> None:
        """What was asked before a pause of ours is not answered for after it."""
        self._open.clear()
