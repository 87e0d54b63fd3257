"""The peer service of the daemon on one loop: what operators see, what is stored, and what is rejected."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ladderhub.lab.fleet import SETTINGS
from ladderhub.lab.ports import free_port
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Request
from ladderhub.peers.transport import PeerError
from ladderhub.peers.wire import cluster_tag
from ladderhub.server.daemon import Daemon
from ladderhub.server.peers import PeerService, PeerStateFile
from ladderhub.server.settings import SettingsError, check
from ladderhub.server.spool import SpoolError
from tests.world import World


def free_address() -> str:
    return f"127.0.0.1:{free_port()}"


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path, nodes=1)
    yield made
    made.close()


def start(
    world: World, name: str, address: str, seeds: list[str], **peers: Any
) -> tuple[Daemon, PeerService]:
    world.settings["peers"] = {
        "listen": address,
        "seeds": seeds,
        "period": "300ms",
        "cluster": "test",
    } | peers
    world.settings["schedulers"] = 2
    daemon = world.daemon(name)
    service = next(each for each in daemon.components if isinstance(each, PeerService))
    return daemon, service


def names(service: PeerService) -> list[str]:
    return sorted(entry.name for entry in service.view.members())


def test_schedulers_find_each_other_and_show_it_in_status_and_metrics(world: World) -> None:
    addresses = [free_address(), free_address()]
    electors = {"electors": addresses[:1], "lease": "1200ms"}
    _, one = start(world, "alpha", addresses[0], addresses, **electors)
    daemon, two = start(world, "beta", addresses[1], addresses, **electors)
    world.until(lambda: names(one) == names(two) == ["alpha", "beta"])

    def is_sure() -> bool:
        row = world.ask(lambda client, on_reply: client.send(Request(n.STATUS_SERVER), on_reply)).rows[0]
        page = daemon.metrics.render_page()[2].decode()
        assert row.get("members") == "alpha, beta"
        assert "ladderhub_members 2.0" in page
        return row.get("membership") == "sure" and "ladderhub_membership_sure 1.0" in page

    # A slow disk sync of the start counts as a pause: the view is unsure until the peer has answered.
    world.until(is_sure)
    # The voter grants nothing for the first lease; then each scheduler holds half, and the module uses it.
    leases = (one.leases, two.leases)
    world.until(
        lambda: all(each and len(each.get_usable_leases(world.loop.now_ns()).slots) == 1 for each in leases),
        30,
    )
    held = [each.get_usable_leases(world.loop.now_ns()).slots for each in leases if each is not None]
    assert sorted(slot for slots in held for slot in slots) == [0, 1]
    world.until(lambda: daemon.module.rules.ordinals == held[1])
    daemon.close()
    world.daemons.pop("beta")
    world.until(lambda: names(one) == ["alpha"])  # it left the group: no wait for silence
    world.until(
        lambda: one.leases is not None and len(one.leases.get_usable_leases(world.loop.now_ns()).slots) == 2,
        30,
    )


def test_invalid_datagrams_are_counted_and_reported_and_have_no_other_effect(world: World) -> None:
    address = free_address()
    daemon, service = start(world, "alpha", address, [address])
    reported: list[Any] = []
    assert service._transport is not None
    service._transport._on_invalid = reported.append
    host, port = address.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (
            b"",
            b"nonsense",
            b"x" * 1999,
            b"\x96\x01\xce" + cluster_tag("other").to_bytes(4, "big"),
        ):
            for _ in range(5):
                sock.sendto(data, (host, int(port)))
        world.until(lambda: sum(row.count for row in reported) == 20)
    assert {row.kind for row in reported} == {"spoilt", "oversized"}
    assert "ladderhub_peer_datagrams_spoilt 20.0" in daemon.metrics.render_page()[2].decode()
    assert not world.troubles


def test_each_life_gets_a_higher_number_from_the_spool_even_if_the_clock_was_set_back(tmp_path: Path) -> None:
    (tmp_path / "peers.json").write_text(json.dumps({"life": 1 << 62, "peers": ["127.0.0.1:9"]}))
    first = PeerStateFile(tmp_path)
    assert first.life == (1 << 62) + 1 and first.peers == ["127.0.0.1:9"]
    assert PeerStateFile(tmp_path).life == first.life + 1
    (tmp_path / "peers.json").write_text("{")
    with pytest.raises(SpoolError, match="peers.json"):
        PeerStateFile(tmp_path)


def test_a_peer_address_in_use_is_reported_with_its_field(world: World) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        with pytest.raises(PeerError, match=f"peers.listen: {address}: Address already in use"):
            start(world, "alpha", address, [address])


def test_without_electors_the_module_keeps_its_ordinal(world: World) -> None:
    address = free_address()
    daemon, service = start(world, "alpha", address, [address])
    assert service.leases is None and daemon.module.rules.lease_until_ns is None


def test_with_an_unconfirmed_view_no_slot_is_used(world: World) -> None:
    # Guards against a scheduler that uses slots after a pause, before it has heard any peer again.
    address = free_address()
    daemon, service = start(world, "alpha", address, [address], electors=[address], lease="1200ms")
    leases = service.leases
    assert leases is not None and daemon.module.rules.lease_until_ns == -1
    world.until(lambda: len(leases.get_usable_leases(world.loop.now_ns()).slots) == 2, 30)
    service.view.confirmed = False
    world.until(lambda: daemon.module.rules.ordinals == ())


@pytest.mark.parametrize(
    ("peers", "message"),
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
def test_invalid_peer_settings_are_reported_in_one_message_with_the_field(
    peers: dict[str, Any], message: str
) -> None:
    value = SETTINGS | {
        "server": "a", "listen": "127.0.0.1:1", "directory": "127.0.0.1:2", "spool": "s", "peers": peers,
    }  # fmt: skip
    with pytest.raises(SettingsError, match=message):
        check(value, "file")
