"""Membership decisions of one scheduler: ticks, received messages, pauses of its own, joining and leaving."""

from __future__ import annotations

from msgspec.structs import replace

from ladderhub.membership import failure_detector as detection
from ladderhub.membership.context import MemberContext
from ladderhub.membership.gossip import pack_entries
from ladderhub.membership.merging import EntryMerger
from ladderhub.membership.messages import (
    Ack,
    Entry,
    IndirectAck,
    IndirectNack,
    IndirectProbe,
    NameConflict,
    Ping,
    Status,
    SyncDigest,
    SyncEntries,
)
from ladderhub.membership.probing import Prober
from ladderhub.membership.table import FORGET_PERIODS, is_alive, member_id, overrides
from ladderhub.membership.types import (
    Action,
    Change,
    Event,
    MemberSettings,
    MessageReceived,
    Stop,
    Tick,
    WakeAt,
)

MAX_SYNC_MESSAGES = 4  # sent in answer to one digest
JOIN_SYNC_PERIODS = 20  # after the start: until then views are compared at each tick
JOIN_PROBES = 3  # addresses probed per tick until a member has answered
CONFIRMING_PEERS = 2  # answers that confirm the view after a pause, or fewer if fewer are monitored
DUPLICATE_PROBE_PERIODS = 2  # between probes of the older process with our name
RECENT_GOSSIP_PERIODS = 2  # a member heard since then may refute gossip that it is gone
LEAVE_COPIES = 2  # of the leave message, which cannot be repeated later


class MembershipView:
    """Makes the decisions of one member.  Pass it events in order, and carry out its actions in order."""

    def __init__(self, settings: MemberSettings, seed: int) -> None:
        self.period = settings.period_ns
        self.context = MemberContext(settings, seed)
        self.merger = EntryMerger(self.context, self._announce)
        self.prober = Prober(self.context, self.merger)
        self.confirmed = True
        self._stopped = False
        self._known_addresses = [
            address for address in (*settings.seeds, *settings.known) if address != settings.address
        ]
        self._sync_address = ""  # of the peer whose view last differed from ours
        self._next_tick_ns = -1
        self._resumed_ns = -1  # end of our last pause, until peers have answered again; -1 otherwise
        self._tick_count = 0

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions."""
        actions: list[Action] = []
        self.context.actions = actions
        if self._stopped:
            return actions
        late_ns = self._compute_late_ns(now_ns)
        if late_ns > self.period:  # first, because the event must be handled as one after a pause
            self._on_pause(now_ns, late_ns)
        if isinstance(event, MessageReceived):
            self._on_received(now_ns, event)
        elif isinstance(event, Tick):
            self._on_tick(now_ns)
        elif isinstance(event, Stop):
            self._leave()
        return actions

    @property
    def self_entry(self) -> Entry:
        return self.context.self_entry

    @property
    def yielded_to(self) -> Entry | None:
        """The older process with our name to which this one has yielded, or None."""
        return self.merger.yielded_to

    def preload(self, now_ns: int, entries: list[Entry]) -> None:
        """Start with these members already known, for emulators that begin with a converged group."""
        for entry in entries:
            if entry.name != self.self_entry.name:
                self.context.table.put(now_ns, entry)
        self.merger.membership_changes += 1
        self.context.joined = True

    def members(self) -> list[Entry]:
        """The living members, including ourselves and suspected ones."""
        return self.context.table.members()

    def get_suspected_names(self) -> list[str]:
        """Names of the members that we monitor and suspect."""
        monitored = self.prober.detector.monitored
        return sorted(name for (name, _), subject in monitored.items() if subject.suspected)

    def address_of(self, name: str, life: int) -> str | None:
        """Address of a known member, living or departed."""
        entry = self.context.table.get((name, life))
        return entry.address if entry is not None else None

    def get_peer_addresses(self) -> list[str]:
        """Addresses of all other members, to be stored for the next life."""
        return sorted(map(self.context.address_of, self.context.other_members()))

    # --- ticks ------------------------------------------------------------------------------------------

    def _compute_late_ns(self, now: int) -> int:
        return now - self._next_tick_ns if self._next_tick_ns >= 0 else 0

    def _on_tick(self, now: int) -> None:
        tick_ns = self.period // detection.TICKS_PER_PERIOD
        late_ns = self._compute_late_ns(now)
        if late_ns > tick_ns:
            self.prober.detector.extend_deadlines(late_ns)
        self._next_tick_ns = now + tick_ns
        self.context.actions.append(WakeAt(self._next_tick_ns))
        self._tick_count += 1
        self.context.expire_probes(now)
        if self.yielded_to is not None:
            if self._tick_count % (DUPLICATE_PROBE_PERIODS * detection.TICKS_PER_PERIOD) == 0:
                self.merger.probe_duplicate(now, self.yielded_to)
            return
        self.prober.on_tick(now)
        period_over = self._tick_count % detection.TICKS_PER_PERIOD == 0
        self._start_sync(period_over)
        if period_over:
            self._on_period(now)
        elif not self.context.joined:
            self._probe_known_addresses(JOIN_PROBES)

    def _start_sync(self, period_over: bool) -> None:
        """Send our digests to a peer whose view differs.

        Anti-entropy repairs what gossip lost.  It waits until all gossip is sent, except after the start."""
        joining = self._tick_count < JOIN_SYNC_PERIODS * detection.TICKS_PER_PERIOD
        gossip_done = period_over and not len(self.context.gossip)
        if self._sync_address and (joining or gossip_done):
            self.context.send(self._sync_address, SyncDigest(self.context.table.encode_bucket_digests()))
            self._sync_address = ""

    def _on_period(self, now: int) -> None:
        self.context.table.forget(now - FORGET_PERIODS * self.period)
        self.merger.on_period(now)
        self._probe_known_addresses(1 if self.context.joined else JOIN_PROBES)
        others = self.context.other_members()
        if others and self.context.joined:  # random pings carry gossip where pings along the rings do not
            self.context.ping(self.context.address_of(self.context.random.choice(others)))
        self._update_confirmed(now)

    def _probe_known_addresses(self, count: int) -> None:
        """Ping addresses without a living member: seeds, those of an earlier life and of departed members."""
        table = self.context.table
        departed = [table.entries[member].address for member in table.departed]
        unused = sorted({*self._known_addresses, *departed} - table.by_address.keys())
        for address in self.context.random.sample(unused, min(count, len(unused))):
            self.context.ping(address, include_self=True, skip_gossip=True)

    # --- own state --------------------------------------------------------------------------------------

    def _on_pause(self, now: int, late_ns: int) -> None:
        """Handle a pause of this process.

        Silence measured across it counts against no member, and our view holds only once peers confirm it."""
        self._next_tick_ns = self._resumed_ns = now
        self.prober.detector.reset(now)
        self.context.cancel_probes()
        self.merger.extend_disputes(now)
        self.context.report(Change.PAUSED, self.self_entry, f"paused for {late_ns / 1e9:.1f} s")
        if self.prober.detector.monitored and self.yielded_to is None:
            self._set_confirmed(False, "after a pause")
            self._announce()

    def _announce(self) -> None:
        """Ping our observers at once, with our own entry."""
        for member in self.context.table.rings.find_observers(self.context.self_id):
            self.context.ping(self.context.address_of(member), include_self=True)

    def _update_confirmed(self, now: int) -> None:
        """Update whether peers confirm our view.

        They do while we are not isolated and, after a pause, once some of them have answered."""
        monitored = self.prober.detector.monitored
        if self._resumed_ns >= 0:
            acked = sum(subject.acked for subject in monitored.values())
            if acked >= min(CONFIRMING_PEERS, len(monitored)):
                self._resumed_ns = -1
        elif self.prober.detector.is_isolated(now):
            self._set_confirmed(False, "we hear nobody")
            return
        if self._resumed_ns < 0:
            self._set_confirmed(True, "peers answered")

    def _set_confirmed(self, confirmed: bool, cause: str) -> None:
        if confirmed != self.confirmed:
            self.confirmed = confirmed
            change = Change.CONFIRMED if confirmed else Change.UNCONFIRMED
            self.context.report(change, self.self_entry, cause)

    def _leave(self) -> None:
        self._stopped = True
        if self.yielded_to is not None:
            return
        leave = SyncEntries((replace(self.self_entry, status=Status.LEFT),))
        rings, self_id = self.context.table.rings, self.context.self_id
        for member in sorted({*rings.find_observers(self_id), *rings.find_subjects(self_id)}):
            for _ in range(LEAVE_COPIES):
                self.context.send(self.context.address_of(member), leave)

    # --- received messages ------------------------------------------------------------------------------

    def _on_received(self, now: int, event: MessageReceived) -> None:
        sender, message = (event.name, event.life), event.message
        if event.name == self.self_entry.name:
            if event.life != self.self_entry.life:
                self._on_duplicate_message(now, event)
            return
        if self.yielded_to is not None and not isinstance(message, Ack):
            return
        if isinstance(message, Ping | Ack):
            for reported in message.gossip:
                if member_id(reported) == sender:
                    self._on_sender_entry(now, reported)
                else:
                    self._on_gossip(now, event.name, reported)
        entry = self.context.table.get(sender)
        if entry is not None and is_alive(entry):
            self.prober.on_heard(now, entry)
        elif entry is not None and entry.status is Status.GONE and event.incarnation <= entry.incarnation:
            self.context.send(entry.address, SyncEntries((entry,)))  # so that the sender can refute it
        self._on_message(now, event, entry)

    def _on_message(self, now: int, event: MessageReceived, entry: Entry | None) -> None:
        """Dispatch a message.  `entry`: the sender's entry after merging what it reported about itself."""
        message = event.message
        if isinstance(message, Ping):
            self._on_ping(now, event, message, entry)
        elif isinstance(message, Ack):
            self.context.joined = True
            self.context.complete_probe(now, message.number, event)
            self._check_digest(message.digest, entry)
        elif isinstance(message, SyncEntries):
            self._on_sync_entries(now, event.name, message)
        elif isinstance(message, NameConflict):
            if message.holder.name == self.self_entry.name:
                self.merger.on_own_name(now, message.holder)
        elif entry is not None:
            self._on_member_message(now, event, entry)

    def _on_member_message(self, now: int, event: MessageReceived, entry: Entry) -> None:
        """Handle the messages that are accepted from known members only."""
        message = event.message
        if isinstance(message, IndirectProbe):
            self.prober.on_indirect_probe(now, entry.address, message)
        elif isinstance(message, IndirectAck):
            self.prober.on_indirect_ack(now, event.name, message)
        elif isinstance(message, IndirectNack):
            if is_alive(entry):
                target = (message.name, message.life)
                self.prober.detector.record_nack(target, member_id(entry), now)
        elif isinstance(message, SyncDigest):
            self._on_sync_digest(entry.address, message)

    def _on_sync_entries(self, now: int, sender: str, message: SyncEntries) -> None:
        for reported in message.entries:
            if self.prober.is_disputable(now, reported):
                # The other side of a partition may report all members on our side as gone.
                self.merger.dispute(now, reported)
            else:
                self.merger.merge(now, reported, f"reported by {sender}")

    def _on_gossip(self, now: int, sender: str, reported: Entry) -> None:
        heard = self.context.has_heard_since(member_id(reported), now - RECENT_GOSSIP_PERIODS * self.period)
        if heard and self.prober.is_disputable(now, reported):
            self.merger.dispute(now, reported)
        else:
            self.merger.merge(now, reported, f"reported by {sender}")

    def _on_sender_entry(self, now: int, entry: Entry) -> None:
        """Handle the entry in which the sender reports itself."""
        old = self.context.table.get(member_id(entry))
        if entry.status in (Status.ALIVE, Status.RETURNING) and (old is None or overrides(entry, old)):
            self.merger.merge(now, entry, "announced itself")

    def _on_duplicate_message(self, now: int, event: MessageReceived) -> None:
        """Handle a message of another process with our name: answer a ping and settle who keeps the name."""
        message = event.message
        if isinstance(message, Ping):
            own = _find_sender_entry(event, message)
            if own is not None and own.address != self.self_entry.address:
                self._send_ack(own.address, message)
                self.merger.on_own_name(now, own)
        elif isinstance(message, Ack):
            self.context.complete_probe(now, message.number, event)
        elif isinstance(message, NameConflict):
            self.merger.on_own_name(now, message.holder)

    def _on_ping(self, now: int, event: MessageReceived, ping: Ping, entry: Entry | None) -> None:
        own = _find_sender_entry(event, ping)
        sender = entry or own
        if sender is None or (entry is None and event.name in self.context.table.by_name):
            return  # unknown address, or a name conflict, of which the sender was notified
        first = self.self_entry if entry is None or own is not None else None
        self._send_ack(sender.address, ping, self.context.gossip.take(self.context.member_count(), first))
        self._check_digest(ping.digest, entry)

    def _send_ack(self, address: str, ping: Ping, gossip: tuple[Entry, ...] = ()) -> None:
        context = self.context
        context.send(address, Ack(ping.number, context.table.digest, context.member_count(), gossip))

    def _check_digest(self, digest: int, entry: Entry | None) -> None:
        if entry is not None and digest != self.context.table.digest:
            self._sync_address = entry.address

    def _on_sync_digest(self, address: str, message: SyncDigest) -> None:
        differing = self.context.table.find_differing_buckets(message.bucket_digests)
        self.context.random.shuffle(differing)
        entries = [entry for index in differing for entry in self.context.table.get_bucket_entries(index)]
        for group in pack_entries(entries)[:MAX_SYNC_MESSAGES]:
            self.context.send(address, SyncEntries(group))


def _find_sender_entry(event: MessageReceived, ping: Ping) -> Entry | None:
    """Return the sender's own entry if its ping contains it."""
    sender = (event.name, event.life)
    return next((entry for entry in ping.gossip if member_id(entry) == sender), None)
