"""A scheduler reaches a directory whose connections take long to come up."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

from ladderhub.directory.wire import Entry
from ladderhub.interface import ListKind
from ladderhub.loop import Loop, ManualClock
from ladderhub.server.nodelist import RETRY_DELAY_RANGE_NS, NodeList
from ladderhub.usage.traffic import TrafficCount
from tests.platform.bed import MS, START_NS, S, open_unreachable_address

COMES_UP_AFTER_NS = 12 * S
WATCH_NS = 90 * S


def test_a_directory_that_comes_up_slowly_is_given_more_time_with_each_dial(tmp_path: Path) -> None:
    # Guards against an old node list: each dial was given up after a second, and the next one as well.
    clock = ManualClock(START_NS)
    loop = Loop(clock)
    address, sockets = open_unreachable_address()
    failed_ns: list[int] = []

    def on_list(kind: ListKind, version: int, entries: list[Entry]) -> None:
        failed_ns.append(clock.now_ns())

    node_list = NodeList(loop, address, "s1", tmp_path, on_list, TrafficCount())
    node_list.start()
    while clock.now_ns() - START_NS < WATCH_NS:
        loop.run_once(0)
        clock.advance(50 * MS)
    dialled_for_ns = [later - earlier - RETRY_DELAY_RANGE_NS[1] for earlier, later in pairwise(failed_ns)]
    assert max(dialled_for_ns) > COMES_UP_AFTER_NS
    assert failed_ns[0] - START_NS < 2 * S
    node_list.close()
    for sock in sockets:
        sock.close()
    loop.close()
