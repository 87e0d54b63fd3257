"""Checked settings, as the daemon uses them."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from ladderhub import interface as api
from ladderhub.owner.types import OwnerSettings
from ladderhub.server.settings.checks import Checker, SettingsError, wrong_shape
from ladderhub.server.settings.decision_settings import (
    Names,
    by_index,
    module_settings,
    owner_settings,
    rollout_settings,
)
from ladderhub.server.settings.names import NameTable
from ladderhub.server.settings.peers import peer_settings
from ladderhub.server.settings.policy import decode_policy
from ladderhub.server.settings.ranges import check_ranges
from ladderhub.server.settings.schema import Kind, Policy, Queue, SettingsFile


class LoadedSettings:
    """Checked settings in the terms of those who use them.

    `queues`, `kinds` and `tenants` give each name its index; a name that an earlier policy of this process
    had keeps it, and is closed.  `lease_cooldown_ns`: for how long a lease of the cold budget rests between
    two holders; it stays as the process began with it."""

    def __init__(self, file: SettingsFile, source: str, known: LoadedSettings | None = None) -> None:
        self.file, self.source = file, source
        check = Checker(source)
        _check_names(file, check)
        check_ranges(file, check)
        self.listen = check.address("listen", file.listen)
        self.http = check.address("http", file.http) if file.http else None
        self.directory = check.address("directory", file.directory)
        self.names: Names = Names(
            NameTable(file.queues, known.names.queues if known else None),
            NameTable(file.kinds, known.names.kinds if known else None),
            NameTable(file.tenants, known.names.tenants if known else None),
        )
        self.queues, self.kinds, self.tenants = self.names.queues, self.names.kinds, self.names.tenants
        self.default_queue = file.default_queue or self.queues.current[0]
        self.keep_finished_ns = check.span("keep_finished", file.keep_finished)
        self.stop_within_ns = check.span("stop_within", file.stop_within)
        self.connect_ns = check.span("nodes.connect", file.nodes.connect)
        self.queues_by_index: tuple[Queue, ...] = by_index(
            self.queues, file.queues, known.queues_by_index if known else ()
        )
        self.kinds_by_index: tuple[Kind, ...] = by_index(
            self.kinds, file.kinds, known.kinds_by_index if known else ()
        )
        memory = {
            name: check.size(f"queues.{name}.default_mem", queue.default_mem)
            for name, queue in file.queues.items()
        }
        self.default_memory: tuple[float, ...] = by_index(
            self.queues, memory, known.default_memory if known else ()
        )
        self.module: api.Settings = module_settings(file, self.names, known.module if known else None, check)
        self.owner: OwnerSettings = owner_settings(
            file, self.names, self.module, known.owner if known else None, check
        )
        self.rollouts = rollout_settings(file, check)
        self.peers = peer_settings(file, check)
        self.lease_cooldown_ns: int = known.lease_cooldown_ns if known else self.module.cold_window_ns
        if (
            self.peers is not None
            and self.peers.voters
            and self.module.cold_window_ns > self.lease_cooldown_ns
        ):
            most = (
                f"at most {self.lease_cooldown_ns // 1_000_000}ms while this process runs: "
                "leases rest so long"
            )
            raise check.wrong("nodes.cold.window", file.nodes.cold.window, most)

    def with_policy(self, body: bytes, source: str) -> LoadedSettings:
        """This process's own part with another policy; `SettingsError` where that can't be used.

        Names known before keep their index; those that the policy has no more are closed."""
        policy = decode_policy(body, source)
        fields = {field: getattr(policy, field) for field in Policy.__struct_fields__}
        return LoadedSettings(msgspec.structs.replace(self.file, **fields), source, known=self)

    def with_closed(self, queues: dict[str, Queue], kinds: dict[str, Kind]) -> LoadedSettings:
        """The same settings, with queues and kinds that an earlier life knew and these do not have."""
        before = msgspec.structs.replace(
            self.file,
            queues=queues | self.file.queues,
            kinds=kinds | self.file.kinds,
            default_queue=self.default_queue,
        )
        return LoadedSettings(self.file, self.source, known=LoadedSettings(before, self.source))

    def tenant_index(self, account: str) -> int:
        """The tenant that a job of this account counts for."""
        return self.tenants.index(account) if self.tenants.is_known(account) else 0


def _check_names(file: SettingsFile, check: Checker) -> None:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*", file.server):
        raise check.wrong("server", file.server, "a name of letters, digits, '-', '_' and '.'")
    if not file.queues:
        raise check.wrong("queues", {}, "at least one queue")
    queues = ", ".join(file.queues)
    # Jsonnet puts fields in alphabetical order, so «the first» would not be what was written first.
    if not file.default_queue and len(file.queues) > 1:
        raise check.wrong("default_queue", "", f"one of {queues}")
    if file.default_queue and file.default_queue not in file.queues:
        raise check.wrong("default_queue", file.default_queue, f"one of {queues}")


def check(value: Any, source: str) -> LoadedSettings:
    """Check an evaluated file."""
    try:
        return LoadedSettings(msgspec.convert(value, SettingsFile), source)
    except msgspec.ValidationError as fault:
        raise wrong_shape(fault, source) from None


def evaluate(path: Path) -> Any:
    """The value of a Jsonnet file; `SettingsError` where it can't be evaluated."""
    import _jsonnet

    try:
        return msgspec.json.decode(_jsonnet.evaluate_file(str(path)))
    except RuntimeError as fault:
        lines = [line.strip() for line in str(fault).splitlines() if line.strip()]
        raise SettingsError("; ".join(lines[:2])) from None


def load(path: Path) -> LoadedSettings:
    """Evaluate and check a file; `SettingsError` where it can't be used."""
    return check(evaluate(path), str(path))
