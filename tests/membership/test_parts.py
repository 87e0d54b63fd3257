"""Rings, member tables and gossip one by one, with enumeration of all cases where that is possible."""

from __future__ import annotations

from collections import Counter
from itertools import permutations, product

from ladderhub.membership import MessageReceived, MemberSettings, Tick, MembershipView
from ladderhub.membership.gossip import Gossip, pack_entries, estimate_entry_size
from ladderhub.membership.messages import Ack, Entry, Message, SyncEntries, Ping, IndirectProbe, Status
from ladderhub.membership.rings import RINGS, Rings
from ladderhub.membership.table import MAX_ENTRIES, MemberTable, member_id, overrides
from ladderhub.membership.types import SendMessage
from ladderhub.peers.wire import VERSION, Frame, encode

S = 1_000_000_000


def entry(name: str = "a", life: int = 1, incarnation: int = 0, status: Status = Status.ALIVE) -> Entry:
    return Entry(name, life, f"10.0.0.{sum(map(ord, name)) % 250}:7000", incarnation, status)


def test_observers_and_subjects_match_and_are_spread_evenly() -> None:
    rings = Rings()
    members = [(f"s{at}", at) for at in range(200)]
    for member in members:
        rings.add(member)
    observed = Counter(each for member in members for each in rings.find_subjects(member))
    assert set(observed) == set(members) and 4 <= min(observed.values()) <= max(observed.values()) <= 8
    mutual = sum(
        member in rings.find_observers(each) for member in members for each in rings.find_subjects(member)
    )
    assert mutual >= 0.95 * RINGS * len(members)
    rings.remove(members[7])
    assert all(members[7] not in rings.find_subjects(member) for member in members)


def test_a_non_member_has_the_observers_that_it_would_have_as_a_member() -> None:
    rings = Rings()
    for at in range(50):
        rings.add((f"s{at}", at))
    before = rings.find_observers(("new", 1))
    rings.add(("new", 1))
    assert rings.find_observers(("new", 1)) == before


def test_entries_merge_in_any_order_any_number_of_times() -> None:
    entries = [
        entry(incarnation=incarnation, status=status) for incarnation, status in product((0, 1), Status)
    ]
    ends = set()
    for order in permutations(entries, 4):
        table = MemberTable()
        for reported in (*order, order[0]):
            old = table.get(member_id(reported))
            if old is None or overrides(reported, old):
                table.put(0, reported)
        best = max(order, key=lambda each: (each.status is Status.LEFT, each.incarnation, each.status))
        kept = table.get(("a", 1))
        assert kept == best
        again = MemberTable()
        again.put(0, best)
        assert (table.digest, table.bucket_digests) == (again.digest, again.bucket_digests)
        ends.add(kept)
    assert len(ends) > 3


def test_the_number_of_entries_is_bounded() -> None:
    # Guards against a sender that exhausts memory by inventing members.
    view = MembershipView(MemberSettings("me", 5, "10.9.9.9:1"), 1)
    view.handle(S, Tick())
    for at in range(MAX_ENTRIES // 40 + 30):
        many = (Entry(f"x{at}-{each}", 1, f"10.1.{at}.{each}:1", 0, Status.ALIVE) for each in range(40))
        view.handle(S + at, MessageReceived("nobody", 1, 0, SyncEntries(tuple(many))))
    assert len(view.members()) <= MAX_ENTRIES
    gone = SyncEntries(tuple(Entry(f"y{each}", 1, "10.1.1.1:1", 0, Status.GONE) for each in range(40)))
    view.handle(2 * S, MessageReceived("nobody", 1, 0, gone))
    assert len(view.context.table.entries) <= 2 * MAX_ENTRIES


def test_every_message_fits_into_a_datagram() -> None:
    long = [
        Entry("n" * 60 + str(at), (1 << 62) + at, f"255.255.255.{at}:65535", (1 << 31) - 1, Status.GONE)
        for at in range(100)
    ]
    gossip = Gossip()
    for each in long:
        gossip.add(each)
    messages: list[Message] = [SyncEntries(group) for group in pack_entries(long)]
    for _ in range(20):
        messages.append(Ping((1 << 31) - 1, (1 << 63) - 1, 4096, gossip.take(100, long[0])))
    for message in [*messages, IndirectProbe(1, long[0]), Ack(1, 1, 1, (long[0],))]:
        assert len(encode(Frame(VERSION, 1 << 31, "n" * 64, 1 << 62, 1 << 30, message))) <= 1200
    assert sum(map(len, pack_entries(long))) == 100 and all(estimate_entry_size(each) > 80 for each in long)


def test_least_transmitted_gossip_goes_first_and_is_dropped_after_its_last_transmission() -> None:
    gossip = Gossip()
    for at in range(60):
        gossip.add(entry(f"m{at:02}"))
    seen: Counter[str] = Counter()
    while len(gossip):
        seen.update(each.name for each in gossip.take(16))
    assert set(seen.values()) == {8}
    gossip.add(entry("b"))
    gossip.add(entry("b", incarnation=1))
    assert [each.incarnation for each in gossip.take(16)] == [1]


def test_messages_of_a_non_member_cause_few_messages() -> None:
    # Guards against amplification: a non-member must not use us to flood others.  Each message that it sends
    # causes one answer, plus at most two notices.
    view = MembershipView(MemberSettings("me", 5, "10.9.9.9:1"), 1)
    view.handle(S, Tick())
    known = Entry("a", 9, "10.0.0.1:1", 0, Status.ALIVE)
    view.handle(S, MessageReceived("a", 9, 0, Ping(1, 0, 1, (known,))))
    sent = 0
    for at in range(200):
        claim = Entry("a", 3, "10.0.0.2:1", 0, Status.ALIVE)
        out = view.handle(S + at, MessageReceived("b", 1, 0, Ping(at, 0, 1, (claim,))))
        sent += sum(isinstance(action, SendMessage) for action in out)
    assert sent <= 2 + 200
