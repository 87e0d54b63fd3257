"""The policy part of the settings: its encoding, and the change to another policy."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from typing import Any

import pytest

from ladderhub.lab.fleet import SETTINGS
from ladderhub.server.settings import LoadedSettings, SettingsError, check, diff_policies, encode_policy

PROCESS_SETTINGS = {"server": "alpha", "listen": "127.0.0.1:1", "directory": "127.0.0.1:2", "spool": "spool"}


def load_settings(**own: Any) -> LoadedSettings:
    return check(copy.deepcopy(SETTINGS) | PROCESS_SETTINGS | own, "file")


def edit_policy(settings: LoadedSettings, edit: Callable[[dict[str, Any]], None]) -> bytes:
    value = json.loads(encode_policy(settings.file))
    edit(value)
    return json.dumps(value).encode()


def remove_mail_and_south(value: dict[str, Any]) -> None:
    del value["queues"]["mail"]
    del value["tenants"]["south"]


def test_equal_policies_have_equal_bytes_without_settings_of_one_process() -> None:
    given = copy.deepcopy(SETTINGS) | PROCESS_SETTINGS
    given["queues"] = dict(reversed(given["queues"].items()))
    given["nodes"] = dict(reversed(given["nodes"].items()))
    other = check(given | {"server": "beta", "spool": "elsewhere", "seed": 9, "schedulers": 3}, "file")
    body = encode_policy(load_settings().file)
    assert encode_policy(other.file) == body
    fields = set(json.loads(body))
    assert fields.isdisjoint(
        {*PROCESS_SETTINGS, "schedulers", "ordinal", "peers", "zone", "seed", "log", "most_jobs"}
    )
    assert encode_policy(load_settings().with_policy(body, "revision 1").file) == body


def test_names_keep_their_index_and_removed_names_are_closed() -> None:
    first = load_settings()

    def edit(value: dict[str, Any]) -> None:
        remove_mail_and_south(value)
        value["queues"]["aaa"] = value["queues"]["web"] | {"limit": "9s", "default_mem": "3gb"}
        value["tenants"]["aaa"] = {"share": 0.1}
        value["kinds"]["aaa"] = {"cores": 1, "memory": "1gb"}

    second = first.with_policy(edit_policy(first, edit), "revision 2")
    for one, two in (
        (first.queues, second.queues),
        (first.kinds, second.kinds),
        (first.tenants, second.tenants),
    ):
        assert two.all == [*one.all, "aaa"]
    assert not second.queues.is_open("mail") and second.queues.is_known("mail")
    assert not second.tenants.is_open("south") and second.tenant_index("south") == first.tenant_index("south")
    mail, new = first.queues.index("mail"), second.queues.index("aaa")
    assert second.module.classes[mail] == first.module.classes[mail]
    assert second.owner.queues[mail] == first.owner.queues[mail]
    assert second.owner.queues[new].limit_ns == 9_000_000_000 and second.default_memory[new] == 3.0
    third = second.with_policy(encode_policy(first.file), "revision 3")
    assert third.queues.all == second.queues.all and third.queues.is_open("mail")
    assert (third.file.server, third.file.spool) == ("alpha", "spool")


@pytest.mark.parametrize(
    ("path", "value", "expected_text"),
    [
        (("queues", "web", "limit"), "soon", "revision 2: queues.web.limit: found 'soon'"),
        (("queues", "web", "limit"), 3, "revision 2: queues[...].limit"),
        (("queues", "web", "colour"), "red", "colour"),
        (("queues", "billing", "kind"), "huge", "queues.billing.kind: found 'huge'; one of"),
        (("queues",), {}, "queues: found {}; at least one queue"),
        (("default_queue",), "gone", "default_queue: found 'gone'; one of"),
        (("nodes", "admit_cores"), 0, "nodes.admit_cores: found 0.0; above 0 is meant"),
        (("nodes", "cold", "pace"), 2, "nodes.cold.pace: found 2.0; above 0 and at most 1 is meant"),
        (("queues", "web", "limit"), "100ms", "queues.web.limit: found '100ms'; a time above 120ms"),
        (("queues", "web", "stay_first"), "5s", "queues.web.stay_first: found '5s'; above 0 and at most"),
        (("queues", "web", "spread", "most"), 0, "queues.web.spread.most: found 0; at least 1"),
        (("kinds", "large", "cores"), 0, "kinds.large.cores: found 0.0; above 0"),
        (("rollouts", "turn"), 1, "rollouts.turn: must be at least 2"),
        (("server",), "beta", "server"),
    ],
)
def test_a_policy_that_cannot_be_taken_is_refused_by_field(
    path: tuple[str, ...], value: Any, expected_text: str
) -> None:
    def edit(section: dict[str, Any]) -> None:
        for key in path[:-1]:
            section = section[key]
        section[path[-1]] = value

    first = load_settings()
    with pytest.raises(SettingsError) as fault:
        first.with_policy(edit_policy(first, edit), "revision 2")
    assert expected_text in str(fault.value)
    with pytest.raises(SettingsError, match="revision 2"):
        first.with_policy(b'{"queues": ', "revision 2")


def test_with_leases_the_cold_window_can_grow_only_by_a_restart() -> None:
    peers = {"listen": "127.0.0.1:3", "seeds": [], "electors": ["127.0.0.1:3"]}
    first = load_settings(peers=peers)

    def with_window(span: str) -> bytes:
        return edit_policy(first, lambda value: value["nodes"]["cold"].update(window=span))

    assert first.with_policy(with_window("1s"), "revision 2").lease_cooldown_ns == 2_000_000_000
    with pytest.raises(SettingsError, match=r"nodes.cold.window: found '3s'; at most 2000ms"):
        first.with_policy(with_window("1s"), "revision 2").with_policy(with_window("3s"), "revision 3")
    assert load_settings().with_policy(with_window("3s"), "revision 2").module.cold_window_ns == 3_000_000_000


def test_a_difference_is_described_by_queue_tenant_and_setting() -> None:
    first = load_settings()

    def edit(value: dict[str, Any]) -> None:
        remove_mail_and_south(value)
        value["queues"]["new"] = value["queues"]["web"]
        value["queues"]["web"] = value["queues"]["web"] | {"limit": "9s", "spread": None}
        value["nodes"]["cold"]["safe_offers"] = 12
        value["default_queue"] = "new"

    second = first.with_policy(edit_policy(first, edit), "revision 2")
    assert diff_policies(encode_policy(first.file), encode_policy(second.file)) == [
        "default_queue web -> new",
        "nodes.cold.safe_offers 24.0 -> 12.0",
        "queue mail: removed",
        "queue new: added",
        'queue web: limit 20s -> 9s, spread {"most":6,"over":"rack"} -> none',
        "tenant south: removed",
    ]
    assert diff_policies(encode_policy(first.file), encode_policy(first.file)) == []
