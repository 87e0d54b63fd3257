"""The peers part of the daemon, on one loop: what operators see, what the spool keeps, what is refused."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ladderhub.lab.fleet import SETTINGS
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Request
from ladderhub.peers.carrier import PeerError
from ladderhub.peers.wire import mark_of
from ladderhub.server.daemon import Daemon
from ladderhub.server.fellowship import Fellowship, Past
from ladderhub.server.lasting import SpoolError
from ladderhub.server.settings import SettingsError, check
from tests.world import World


def free_udp() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path, nodes=1)
    yield made
    made.close()


def start(world: World, name: str, place: str, seeds: list[str], **peers: Any) -> tuple[Daemon, Fellowship]:
    world.settings["peers"] = {"listen": place, "seeds": seeds, "period": "300ms", "cluster": "test"} | peers
    world.settings["schedulers"] = 2
    daemon = world.daemon(name)
    fellowship = next(part for part in daemon.parts if isinstance(part, Fellowship))
    return daemon, fellowship


def names(fellowship: Fellowship) -> list[str]:
    return sorted(entry.name for entry in fellowship.views.members())


def test_schedulers_find_each_other_and_say_so_in_status_and_metrics(world: World) -> None:
    places = [free_udp(), free_udp()]
    electors = {"electors": places[:1], "lease": "1200ms"}
    _, one = start(world, "alpha", places[0], places, **electors)
    daemon, two = start(world, "beta", places[1], places, **electors)
    world.until(lambda: names(one) == names(two) == ["alpha", "beta"])
    row = world.ask(lambda client, told: client.send(Request(n.STATUS_SERVER), told)).rows[0]
    assert (row.get("members"), row.get("membership")) == ("alpha, beta", "sure")
    page = daemon.metrics.page()[2].decode()
    assert "ladderhub_members 2.0" in page and "ladderhub_membership_sure 1.0" in page
    # Seats: each has its half once the elector has been silent for a lease, and the module goes by them.
    seats = (one.seats, two.seats)
    world.until(lambda: all(each and len(each.usable(world.loop.now_ns())[0]) == 1 for each in seats), 30)
    held = [each.usable(world.loop.now_ns())[0] for each in seats if each is not None]
    assert sorted(slot for slots in held for slot in slots) == [0, 1]
    world.until(lambda: daemon.module.rules.ordinals == held[1])
    daemon.close()
    world.daemons.pop("beta")
    world.until(lambda: names(one) == ["alpha"])  # it took its leave: no wait for silence
    world.until(lambda: one.seats is not None and len(one.seats.usable(world.loop.now_ns())[0]) == 2, 30)


def test_what_comes_spoilt_is_counted_and_told_and_harms_nothing(world: World) -> None:
    place = free_udp()
    daemon, fellowship = start(world, "alpha", place, [place])
    told: list[Any] = []
    assert fellowship._carrier is not None
    fellowship._carrier._on_spoilt = told.append
    host, port = place.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"nonsense", b"x" * 1999, b"\x96\x01\xce" + mark_of("other").to_bytes(4, "big")):
            for _ in range(5):
                sock.sendto(data, (host, int(port)))
        world.until(lambda: sum(row.count for row in told) == 20)
    assert {row.kind for row in told} == {"spoilt", "oversized"}
    assert "ladderhub_peer_datagrams_spoilt 20.0" in daemon.metrics.page()[2].decode()
    assert not world.troubles


def test_the_spool_gives_each_life_a_higher_number_also_with_a_clock_set_back(tmp_path: Path) -> None:
    (tmp_path / "peers.json").write_text(json.dumps({"life": 1 << 62, "peers": ["127.0.0.1:9"]}))
    first = Past(tmp_path)
    assert first.life == (1 << 62) + 1 and first.peers == ["127.0.0.1:9"]
    assert Past(tmp_path).life == first.life + 1
    (tmp_path / "peers.json").write_text("{")
    with pytest.raises(SpoolError, match="peers.json"):
        Past(tmp_path)


def test_an_address_for_peers_that_is_taken_is_told_by_field(world: World) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        place = f"127.0.0.1:{sock.getsockname()[1]}"
        with pytest.raises(PeerError, match=f"peers.listen: {place}: Address already in use"):
            start(world, "alpha", place, [place])


def test_without_electors_the_module_keeps_its_ordinal(world: World) -> None:
    place = free_udp()
    daemon, fellowship = start(world, "alpha", place, [place])
    assert fellowship.seats is None and daemon.module.rules.lent_until_ns is None


def test_an_unsure_view_uses_no_seat(world: World) -> None:
    # Guards against seats that are used by one that stood still and has heard nobody since.
    place = free_udp()
    daemon, fellowship = start(world, "alpha", place, [place], electors=[place], lease="1200ms")
    seats = fellowship.seats
    assert seats is not None and daemon.module.rules.lent_until_ns == -1
    world.until(lambda: len(seats.usable(world.loop.now_ns())[0]) == 2, 30)
    fellowship.views.sure = False
    world.until(lambda: daemon.module.rules.ordinals == ())


@pytest.mark.parametrize(
    ("peers", "said"),
    [
        ({"listen": "nowhere", "seeds": []}, "peers.listen: found 'nowhere'; HOST:PORT is meant"),
        ({"listen": "127.0.0.1:1", "seeds": ["x"]}, r"peers.seeds\[0\]"),
        ({"listen": "0.0.0.0:1", "seeds": []}, "peers.advertise: found '0.0.0.0:1'"),
        ({"listen": "127.0.0.1:1", "seeds": [], "period": "1ms"}, "peers.period"),
        ({"listen": "127.0.0.1:1", "seeds": [], "cluster": ""}, "peers.cluster"),
        ({"listen": "127.0.0.1:1", "seeds": [], "electors": ["a:1", "a:1"]}, "each address once"),
        ({"listen": "127.0.0.1:1", "seeds": [], "electors": ["a:1"], "lease": "2s"}, "peers.lease"),
        ({"seeds": []}, "peers"),
    ],
)
def test_bad_settings_of_peers_are_one_message_that_names_the_field(peers: dict[str, Any], said: str) -> None:
    value = SETTINGS | {
        "server": "a", "listen": "127.0.0.1:1", "directory": "127.0.0.1:2", "spool": "s", "peers": peers,
    }  # fmt: skip
    with pytest.raises(SettingsError, match=said):
        check(value, "file")
