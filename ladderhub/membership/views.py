"""The decisions of one member: its looks, what it hears, its pauses, its coming and its leave."""

from __future__ import annotations

from msgspec.structs import replace

from ladderhub.membership import watching as w
from ladderhub.membership.desk import Desk
from ladderhub.membership.entries import Entries
from ladderhub.membership.gossip import packed
from ladderhub.membership.looking import Looking
from ladderhub.membership.messages import Ack, Compare, Entry, Found, Missed, Part, Ping, Seek, Status, Taken
from ladderhub.membership.table import FORGET_PERIODS, id_of, is_in, overrides
from ladderhub.membership.types import Action, Change, Event, Heard, MemberSettings, Stop, Tick, WakeAt

PARTS_MOST = 4  # messages in answer to one comparison
CATCH_UP = 20  # periods in which one that has come compares views at each look
KNOCKS = 3  # addresses tried at a look while nobody has answered yet


class Views:
    """Decides for one member.  Feed it events in order; carry out its actions in order."""

    def __init__(self, settings: MemberSettings, seed: int) -> None:
        self.period = settings.period_ns
        self.desk = Desk(settings, seed)
        self.entries = Entries(self.desk, self._announce)
        self.looking = Looking(self.desk, self.entries)
        self.sure = True
        self._stopped = False
        self._addresses = [each for each in (*settings.seeds, *settings.known) if each != settings.address]
        self._differs = ""  # where another view than ours was at last
        self._due_ns = self._woke_ns = -1
        self._look = 0

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Take one event and give the actions it calls for."""
        out: list[Action] = []
        self.desk.out = out
        if self._stopped:
            return out
        late = now_ns - self._due_ns if self._due_ns >= 0 else 0
        if late > self.period:  # before all else: what came meanwhile must be read knowing it
            self._wake_up(now_ns, late)
        if isinstance(event, Heard):
            self._on_heard(now_ns, event)
        elif isinstance(event, Tick):
            self._on_tick(now_ns)
        elif isinstance(event, Stop):
            self._leave()
        return out

    @property
    def me(self) -> Entry:
        return self.desk.me

    @property
    def yielded(self) -> Entry | None:
        """The elder process of our name, to which we yielded."""
        return self.entries.yielded

    def know(self, now_ns: int, entries: list[Entry]) -> None:
        """Begin with these members instead of learning of them; for beds that start a fleet as it was."""
        for entry in entries:
            if entry.name != self.me.name:
                self.desk.table.put(now_ns, entry)
        self.entries.changes += 1
        self.desk.answered = True

    def members(self) -> list[Entry]:
        """Those that are in, ourselves among them; suspected ones too."""
        return self.desk.table.members()

    def suspected(self) -> list[str]:
        """Names of those that we watch and suspect."""
        return sorted(name for (name, _), watch in self.looking.watching.watches.items() if watch.suspected)

    def addresses(self) -> list[str]:
        """Of all others in the view: worth keeping for a next life."""
        return sorted(map(self.desk.address, self.desk.others()))

    # --- looks ------------------------------------------------------------------------------------------

    def _on_tick(self, now: int) -> None:
        step = self.period // w.TICKS
        late = now - self._due_ns if self._due_ns >= 0 else 0
        if late > step:  # we were late ourselves: that is nobody's silence
            self.looking.watching.shift(late)
        self._due_ns = now + step
        self.desk.out.append(WakeAt(self._due_ns))
        self._look += 1
        self.desk.expire(now)
        if self.yielded is not None:
            if self._look % (2 * w.TICKS) == 0:
                self.entries.check_namesake(now, self.yielded)
            return
        self.looking.look(now)
        # A comparison is for what gossip lost; one that has just come has nothing yet and asks at once.
        new, whole = self._look < CATCH_UP * w.TICKS, self._look % w.TICKS == 0
        if self._differs and (new or (whole and not len(self.desk.gossip))):
            self.desk.say(self._differs, Compare(self.desk.table.sums_bytes()))
            self._differs = ""
        if whole:
            self._each_period(now)
        elif not self.desk.answered:
            self._knock(KNOCKS)

    def _each_period(self, now: int) -> None:
        self.desk.table.forget(now - FORGET_PERIODS * self.period)
        self.entries.each_period(now)
        self._knock(1 if self.desk.answered else KNOCKS)
        others = self.desk.others()
        if others and self.desk.answered:  # news must also cross where the rings do not
            self.desk.ping(self.desk.address(self.desk.random.choice(others)))
        self._confirm(now)

    def _knock(self, count: int) -> None:
        """Addresses that nobody in the view has: seeds, those of an earlier life, those that are gone."""
        table = self.desk.table
        gone = [table.entries[each].address for each in table.over]
        away = sorted({*self._addresses, *gone} - table.by_address.keys())
        for address in self.desk.random.sample(away, min(count, len(away))):
            self.desk.ping(address, own=True, vain=True)

    # --- ourselves --------------------------------------------------------------------------------------

    def _wake_up(self, now: int, late: int) -> None:
        """We stood still.  Nobody else is to blame, and nothing we knew holds until peers confirm it."""
        self._due_ns = self._woke_ns = now
        self.looking.watching.woke(now)
        self.desk.drop_asks()
        self.entries.put_off(now)
        self.desk.tell(Change.WOKE, self.me, f"stood still for {late / 1e9:.1f} s")
        if self.looking.watching.watches and self.yielded is None:
            self._set_sure(False, "after a pause")
            self._announce()

    def _announce(self) -> None:
        """To those who watch us, without waiting for their turn."""
        for each in self.desk.table.rings.observers(self.desk.my_id):
            self.desk.ping(self.desk.address(each), own=True)

    def _confirm(self, now: int) -> None:
        """Are we heard and answered?  By two of those that we watch, or by all where they are fewer."""
        watches = self.looking.watching.watches
        if self._woke_ns >= 0:
            if sum(watch.answered for watch in watches.values()) >= min(2, len(watches)):
                self._woke_ns = -1
        elif self.looking.watching.alone(now):
            self._set_sure(False, "we hear nobody")
            return
        if self._woke_ns < 0:
            self._set_sure(True, "peers answer")

    def _set_sure(self, sure: bool, cause: str) -> None:
        if sure != self.sure:
            self.sure = sure
            self.desk.tell(Change.SURE if sure else Change.UNSURE, self.me, cause)

    def _leave(self) -> None:
        self._stopped = True
        if self.yielded is not None:
            return
        left, rings = Part((replace(self.me, status=Status.LEFT),)), self.desk.table.rings
        for each in sorted({*rings.observers(self.desk.my_id), *rings.subjects(self.desk.my_id)}):
            for _ in range(2):  # there is no later occasion to say it again
                self.desk.say(self.desk.address(each), left)

    # --- what is heard ----------------------------------------------------------------------------------

    def _on_heard(self, now: int, event: Heard) -> None:
        sender, message = (event.name, event.life), event.message
        if event.name == self.me.name:
            if event.life != self.me.life:
                self._on_namesake(now, event)
            return
        if self.yielded is not None and not isinstance(message, Ack):
            return
        if isinstance(message, Ping | Ack):
            for told in message.news:
                if id_of(told) == sender:
                    self._meet(now, told)
                else:
                    self._on_news(now, event.name, told)
        entry = self.desk.table.get(sender)
        if entry is not None and is_in(entry):
            self.looking.heard(now, entry)
        elif entry is not None and entry.status is Status.GONE and event.incarnation <= entry.incarnation:
            self.desk.say(entry.address, Part((entry,)))  # so that it can contradict
        self._on_message(now, event, entry)

    def _on_message(self, now: int, event: Heard, entry: Entry | None) -> None:
        """`entry`: what is known of the sender after what it told of itself."""
        message = event.message
        if isinstance(message, Ping):
            self._on_ping(now, event, message, entry)
        elif isinstance(message, Ack):
            self.desk.answered = True
            self.desk.answer(now, message.number, event)
            self._compare(message.digest, entry)
        elif isinstance(message, Part):
            for told in message.entries:
                if self.looking.is_doubtful(now, told):
                    self.entries.doubt(now, told)  # the other side of a cut may have all of ours as gone
                else:
                    self.entries.take(now, told, f"told by {event.name}")
        elif isinstance(message, Taken):
            if message.holder.name == self.me.name:
                self.entries.about_us(now, message.holder)
        elif entry is None:
            return  # what follows is for members
        elif isinstance(message, Seek):
            self.looking.on_seek(now, entry.address, message)
        elif isinstance(message, Found):
            self.looking.on_found(now, event.name, message)
        elif isinstance(message, Missed):
            if is_in(entry):
                self.looking.watching.missed((message.name, message.life), id_of(entry), now)
        elif isinstance(message, Compare):
            self._on_compare(entry.address, message)

    def _on_news(self, now: int, sender: str, told: Entry) -> None:
        heard = self.desk.spoke_since(id_of(told), now - 2 * self.period)
        if heard and self.looking.is_doubtful(now, told):
            self.entries.doubt(now, told)
        else:
            self.entries.take(now, told, f"told by {sender}")

    def _meet(self, now: int, entry: Entry) -> None:
        """The sender tells of itself."""
        old = self.desk.table.get(id_of(entry))
        if entry.status in (Status.ALIVE, Status.RETURNING) and (old is None or overrides(entry, old)):
            self.entries.take(now, entry, "it came")

    def _on_namesake(self, now: int, event: Heard) -> None:
        """A process of our name speaks: answer its question, and settle who stays."""
        message = event.message
        if isinstance(message, Ping):
            own = next((each for each in message.news if id_of(each) == (event.name, event.life)), None)
            if own is not None and own.address != self.me.address:
                self.desk.say(own.address, Ack(message.number, self.desk.table.digest, self.desk.count()))
                self.entries.about_us(now, own)
        elif isinstance(message, Ack):
            self.desk.answer(now, message.number, event)
        elif isinstance(message, Taken):
            self.entries.about_us(now, message.holder)

    def _on_ping(self, now: int, event: Heard, ping: Ping, entry: Entry | None) -> None:
        own = next((each for each in ping.news if id_of(each) == (event.name, event.life)), None)
        sender = entry or own
        if sender is None or (entry is None and event.name in self.desk.table.by_name):
            return  # nobody to answer, or one whose name is taken: it has been told so
        first = self.me if entry is None or own is not None else None
        news = self.desk.gossip.take(self.desk.count(), first)
        self.desk.say(sender.address, Ack(ping.number, self.desk.table.digest, self.desk.count(), news))
        self._compare(ping.digest, entry)

    def _compare(self, digest: int, entry: Entry | None) -> None:
        if entry is not None and digest != self.desk.table.digest:
            self._differs = entry.address

    def _on_compare(self, address: str, compare: Compare) -> None:
        differing = self.desk.table.differing(compare.sums)
        self.desk.random.shuffle(differing)
        entries = [each for at in differing for each in self.desk.table.bucket(at)]
        for group in packed(entries)[:PARTS_MOST]:
            self.desk.say(address, Part(group))
