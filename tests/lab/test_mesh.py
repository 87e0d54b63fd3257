"""A short fault day on real schedulers, and checks that the judge of views detects planted violations."""

from __future__ import annotations

import copy

import pytest

from ladderhub.lab.emulator.net import S
from ladderhub.lab.mesh.days import Day, Step, draw_day
from ladderhub.lab.mesh.fleet import Mesh
from ladderhub.lab.mesh.judge import Row, judge, read_recording
from ladderhub.lab.mesh.relay import Relay
from ladderhub.loop import Loop
from ladderhub.loop.datagram import Datagrams

pytestmark = pytest.mark.xdist_group("mesh")  # one recording for all tests of this file
COUNT = 5


@pytest.fixture(scope="module")
def recording(tmp_path_factory: pytest.TempPathFactory) -> list[Row]:
    """Five processes: kills with a restart within 100 ms, a pause, invalid datagrams, a one-way cut."""
    folder = tmp_path_factory.mktemp("mesh")
    steps = [
        *draw_day("restart", COUNT, 3).steps[:4], Step(1, "noise", 0), Step(1.5, "pause", 4),
        Step(3.5, "go_on", 4), Step(2, "cut", value=frozenset({(0, 1)})), Step(6, "cut", value=frozenset()),
    ]  # fmt: skip
    day = Day("small", "a little of each", steps, 6)
    loop = Loop()
    mesh = Mesh(loop, folder, COUNT, 3)
    try:
        mesh.start()
        verdict = mesh.run_day_script(day)
        assert mesh.relay.forwarded > 100
    finally:
        mesh.close()
        loop.close()
    assert verdict.is_good(), list(verdict.lines())
    return read_recording(folder / "recording.jsonl")


DAY = Day("small", "", [], 6)


def test_real_processes_find_each_other_and_keep_their_views_over_faults(recording: list[Row]) -> None:
    verdict = judge(recording, DAY, COUNT, 2.5)
    assert verdict.leases_reported > 10 and verdict.idle_share < 0.9
    assert verdict.is_good() and 0 <= verdict.convergence_s <= 10 and verdict.report_count > 10
    assert any(row["what"] == "told" and "woke" in row["change"] for row in recording)


def build_tampered_rows(recording: list[Row], kind: str) -> list[Row]:
    rows = copy.deepcopy(recording)
    end = max(row["at"] for row in rows)
    lives = {row["slot"]: row["life"] for row in rows if row["what"] == "life"}
    report = {"at": end, "what": "told", "slot": 1, "member": "sched2", "life": lives[2], "cause": "doctored"}
    if kind == "a living member told gone":
        rows.append(report | {"change": "gone"})
        rows.append(report | {"change": "alive", "at": end + 0.1})
    elif kind == "one that is over kept":
        rows.append({"at": end, "what": "over", "slot": 3})
    elif kind == "one that lives missing":
        last = max((row for row in rows if row["what"] == "told" and row["change"] == "alive"
                    and row["slot"] == 0 and row["life"] == lives[1]), key=lambda row: row["at"])  # fmt: skip
        rows.remove(last)
    elif kind == "an error in a log":
        rows.append({"at": end, "what": "trouble", "slot": 0, "text": "it broke"})
    elif kind == "ends too early":
        rows = [row for row in rows if row["what"] != "settled"]
    elif kind == "equal too late":
        settled = next(row for row in rows if row["what"] == "settled")
        rows.append(report | {"change": "gone", "at": settled["at"] + 10.5, "life": 1})
        rows.append(report | {"change": "alive", "at": settled["at"] + 10.6, "life": 1})
        rows.append(report | {"change": "gone", "at": settled["at"] + 11.5, "life": 1})
    elif kind in ("a seat with two holders", "a seat that did not rest"):
        lease_rows = [row for row in rows if row["what"] == "seats" and row["slots"]]
        seats = max(lease_rows, key=lambda row: row["at"])
        expiry_s = seats["until_ns"] / 1e9
        other = next(slot for slot in lives if slot != seats["slot"])
        at = seats["at"] + 0.1 if kind == "a seat with two holders" else expiry_s + 1
        rows.append(seats | {"slot": other, "at": at, "until_ns": seats["until_ns"] + 9 * S})
        rows.append({"at": expiry_s + 9, "what": "later"})
    return rows


@pytest.mark.parametrize(
    "kind",
    [
        "a living member told gone", "one that is over kept", "one that lives missing", "an error in a log",
        "ends too early", "equal too late", "a seat with two holders", "a seat that did not rest",
    ],
)  # fmt: skip
def test_the_judge_of_views_fails_on_a_doctored_recording(recording: list[Row], kind: str) -> None:
    verdict = judge(build_tampered_rows(recording, kind), DAY, COUNT, 2.5)
    assert not verdict.is_good() and ("seat" not in kind or verdict.doubly_held)


def test_the_relay_cuts_one_direction_of_one_pair_alone() -> None:
    loop = Loop()
    received: dict[int, list[bytes]] = {0: [], 1: []}
    relay = Relay(loop, 1)
    endpoints = {
        0: Datagrams(loop, ("127.0.0.1", 0), lambda data, _: received[0].append(data)),
        1: Datagrams(loop, ("127.0.0.1", 0), lambda data, _: received[1].append(data)),
    }
    for at, end in endpoints.items():
        relay.add(at, end.address)
    relay.set_cut(frozenset({(0, 1)}))
    deadline_ns = loop.now_ns() + 5 * S
    while not received[0] and loop.now_ns() < deadline_ns:
        endpoints[0].send(b"there", relay.get_public_address(1))
        endpoints[1].send(b"back", relay.get_public_address(0))
        loop.run_once(10_000_000)
    assert received[0] and set(received[0]) == {b"back"} and not received[1] and relay.lost
    relay.close()
    for end in endpoints.values():
        end.close()
    loop.close()
