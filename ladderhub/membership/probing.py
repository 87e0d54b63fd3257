"""Probes the monitored members directly and through proxies, evaluates their silence, and acts as a proxy."""

from __future__ import annotations

from msgspec.structs import replace

from ladderhub.membership import failure_detector as detection
from ladderhub.membership.context import MemberContext
from ladderhub.membership.merging import EntryMerger
from ladderhub.membership.messages import Entry, IndirectAck, IndirectNack, IndirectProbe, Status
from ladderhub.membership.rings import MemberId
from ladderhub.membership.table import is_alive, member_id
from ladderhub.membership.types import Change, MessageReceived

SWEEP_PROBES_PER_TICK = 6  # in addition to the probes of the monitored members
RECENTLY_HEARD_PERIODS = 3  # proxies heard since then are asked first
MAX_RANDOM_PROXIES = 64  # proxy candidates besides the other observers
_MILLISECOND_NS = 1_000_000


class Prober:
    """Probes the monitored members and reports those that are suspected or gone.

    While many are suspected it also sweeps over all members: all observers of a member may be gone."""

    def __init__(self, context: MemberContext, merger: EntryMerger) -> None:
        self.context, self.merger = context, merger
        self.detector = detection.FailureDetector(context.period)
        self._seen_changes = -1
        self._sweep_targets: list[MemberId] = []
        self._last_sweep_ns = 0

    def on_tick(self, now: int) -> None:
        """Probe the next batch of monitored members, continue a sweep, and evaluate silent members."""
        table = self.context.table
        if self._seen_changes != self.merger.membership_changes:
            self._seen_changes = self.merger.membership_changes
            self.detector.set_subjects(now, table.rings.find_subjects(self.context.self_id), table.rings)
        for member in self.detector.take_next_batch():
            self._probe(now, member, table.entries[member])
        self._sweep(now)
        for member in list(self.detector.monitored):
            if self.detector.count_silent_periods(member, now) >= detection.SUSPECT_PERIODS:
                self._evaluate(now, member)

    def _probe(self, now: int, member: MemberId, entry: Entry) -> None:
        """Ping a member; if it has been silent, ask proxies to probe it too."""

        def on_probed(at: int, ack: MessageReceived | None) -> None:
            if ack is not None and (ack.name, ack.life) != member:
                self.merger.mark_replaced(at, member, ack)

        silent_periods = self.detector.count_silent_periods(member, now)
        silent = silent_periods >= detection.INDIRECT_PROBE_PERIODS
        self.context.probe(now, entry, on_probed, include_self=not self.context.joined, skip_gossip=silent)
        if silent:
            self._probe_indirectly(now, member, entry, silent_periods)

    def _probe_indirectly(self, now: int, member: MemberId, entry: Entry, silent_periods: float) -> None:
        subject = self.detector.monitored[member]
        more = detection.PROXIES_PER_PERIOD * (silent_periods - detection.INDIRECT_PROBE_PERIODS)
        wanted = min(detection.MAX_PROXIES, round(detection.MIN_PROXIES + more))
        for proxy in self._choose_proxies(now, member, subject, wanted):
            subject.proxies_asked.append(proxy)
            request = IndirectProbe(self.context.take_next_number(), entry)
            self.context.send(self.context.address_of(proxy), request)

    def _choose_proxies(
        self, now: int, member: MemberId, subject: detection.MonitoredMember, wanted: int
    ) -> list[MemberId]:
        """Choose the proxies to ask next: each is asked once before any is asked again.

        Recently heard ones come first; among those, the member's other observers before random members."""
        context = self.context
        since = now - RECENTLY_HEARD_PERIODS * context.period
        observers = [each for each in context.table.rings.find_observers(member) if each != context.self_id]
        excluded = {member, *observers}
        others = [each for each in context.other_members() if each not in excluded]
        context.random.shuffle(others)
        candidates = [*observers, *others[:MAX_RANDOM_PROXIES]]
        candidates.sort(key=lambda each: not context.has_heard_since(each, since))
        unasked = [each for each in candidates if each not in subject.proxies_asked]
        if len(unasked) < wanted:
            subject.proxies_asked.clear()
            unasked = candidates
        return unasked[:wanted]

    def _sweep(self, now: int) -> None:
        """While many members are suspected, probe those that we do not monitor, a few per tick."""
        context = self.context
        due = not self._sweep_targets and now >= self._last_sweep_ns + context.period
        if due and self.detector.has_many_suspected():
            self._last_sweep_ns = now
            silent = [
                each
                for each in context.other_members()
                if not context.has_heard_since(each, now - context.period)
            ]
            self._sweep_targets = context.random.sample(silent, min(detection.MAX_ADOPTED, len(silent)))
        count = min(SWEEP_PROBES_PER_TICK, len(self._sweep_targets))
        for member in [self._sweep_targets.pop() for _ in range(count)]:
            self._probe_unmonitored(now, member)

    def _probe_unmonitored(self, now: int, member: MemberId) -> None:
        entry = self.context.table.get(member)
        if entry is None or not is_alive(entry):
            return

        def on_probed(at: int, ack: MessageReceived | None) -> None:
            unheard = ack is None and not self.context.has_heard_since(member, now)
            if unheard and member in self.context.table.rings:
                self.detector.adopt(member, now)

        self.context.probe(now, entry, on_probed, skip_gossip=True)

    def _evaluate(self, now: int, member: MemberId) -> None:
        """Handle a silent member: suspect it, declare it gone, or wait for more nacks."""
        entry, subject = self.context.table.entries[member], self.detector.monitored[member]
        silent_periods = self.detector.count_silent_periods(member, now)
        if self.detector.has_enough_nacks(member, now, self.context.member_count() - 2):
            others = self.detector.count_fresh_nacks(member, now)
            cause = f"no answer to us or to {others} proxies for {silent_periods:.1f} periods"
            if silent_periods >= detection.GONE_PERIODS:
                self.merger.merge(now, replace(entry, status=Status.GONE), cause)
            elif not subject.suspected:
                subject.suspected = True
                self.context.report(Change.SUSPECTED, entry, cause)
        elif silent_periods >= detection.ISOLATED_PERIODS and self.detector.is_isolated(now):
            # No proxy confirms it, so this changes only our own view and is not gossiped.
            self.merger.apply(now, replace(entry, status=Status.GONE), "we hear nobody", spread=False)

    def is_disputable(self, now: int, entry: Entry) -> bool:
        """Whether the entry reports a member gone that is alive in our view and that we do not suspect."""
        member = member_id(entry)
        known = self.context.table.get(member)
        if known is None or entry.status is not Status.GONE or not is_alive(known):
            return False
        if entry.name == self.context.self_entry.name:
            return False
        if member not in self.detector.monitored:
            return True
        return self.detector.count_silent_periods(member, now) < detection.SUSPECT_PERIODS

    # --- received messages ------------------------------------------------------------------------------

    def on_heard(self, now: int, entry: Entry) -> None:
        """Record that a member sent us a message."""
        self.context.last_heard_ns[member_id(entry)] = now
        if self.detector.record_heard(member_id(entry), now):
            self.context.report(Change.CLEARED, entry, "heard again")

    def on_indirect_probe(self, now: int, address: str, request: IndirectProbe) -> None:
        """Act as a proxy: report when we last heard the target, or probe it if that was too long ago."""
        context, target, number = self.context, request.target, request.number
        if target.name == context.self_entry.name:
            return
        age_ns = now - context.last_heard_ns.get(member_id(target), -context.period)
        if age_ns < context.period:
            context.send(address, IndirectAck(number, target.name, target.life, age_ns // _MILLISECOND_NS))
            return

        def on_probed(at: int, ack: MessageReceived | None) -> None:
            if ack is not None and (ack.name, ack.life) == member_id(target):
                context.send(address, IndirectAck(number, target.name, target.life, 0))
            else:
                context.send(address, IndirectNack(number, target.name, target.life))

        context.probe(now, target, on_probed, skip_gossip=True)

    def on_indirect_ack(self, now: int, proxy: str, ack: IndirectAck) -> None:
        """Record that a proxy has heard a member."""
        target = self.context.table.get((ack.name, ack.life))
        age_ns = ack.age_ms * _MILLISECOND_NS
        if target is not None and self.detector.record_heard(member_id(target), now, age_ns):
            self.context.report(Change.CLEARED, target, f"reached by {proxy}")
