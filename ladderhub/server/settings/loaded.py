"""The checked settings that the daemon uses."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from ladderhub import interface as api
from ladderhub.owner.types import OwnerSettings
from ladderhub.server.settings.checks import Checker, SettingsError, make_validation_error
from ladderhub.server.settings.decision_settings import (
    NameTables,
    arrange_by_index,
    make_module_settings,
    make_owner_settings,
    make_rollout_settings,
)
from ladderhub.server.settings.names import NameTable
from ladderhub.server.settings.peers import make_peer_settings
from ladderhub.server.settings.policy import decode_policy
from ladderhub.server.settings.ranges import check_ranges
from ladderhub.server.settings.schema import Kind, Policy, Queue, SettingsFile


class LoadedSettings:
    """Checked settings, converted for their users.

    `queues`, `kinds` and `tenants` map names to indexes; a name of an earlier policy of this process keeps
    its index and is closed.  `lease_cooldown_ns`: how long a lease of the cold budget is unused between two
    holders; it stays constant while the process runs."""

    def __init__(self, file: SettingsFile, source: str, previous: LoadedSettings | None = None) -> None:
        self.file, self.source = file, source
        checker = Checker(source)
        _check_names(file, checker)
        check_ranges(file, checker)
        self.listen = checker.parse_address("listen", file.listen)
        self.http = checker.parse_address("http", file.http) if file.http else None
        self.directory = checker.parse_address("directory", file.directory)
        self.names: NameTables = NameTables(
            NameTable(file.queues, previous.names.queues if previous else None),
            NameTable(file.kinds, previous.names.kinds if previous else None),
            NameTable(file.tenants, previous.names.tenants if previous else None),
        )
        self.queues, self.kinds, self.tenants = self.names.queues, self.names.kinds, self.names.tenants
        self.default_queue = file.default_queue or self.queues.current[0]
        self.keep_finished_ns = checker.parse_duration_ns("keep_finished", file.keep_finished)
        self.stop_within_ns = checker.parse_duration_ns("stop_within", file.stop_within)
        self.connect_ns = checker.parse_duration_ns("nodes.connect", file.nodes.connect)
        self.queues_by_index: tuple[Queue, ...] = arrange_by_index(
            self.queues, file.queues, previous.queues_by_index if previous else ()
        )
        self.kinds_by_index: tuple[Kind, ...] = arrange_by_index(
            self.kinds, file.kinds, previous.kinds_by_index if previous else ()
        )
        memory = {
            name: checker.parse_size_gib(f"queues.{name}.default_mem", queue.default_mem)
            for name, queue in file.queues.items()
        }
        self.default_memory: tuple[float, ...] = arrange_by_index(
            self.queues, memory, previous.default_memory if previous else ()
        )
        self.module: api.Settings = make_module_settings(
            file, self.names, previous.module if previous else None, checker
        )
        self.owner: OwnerSettings = make_owner_settings(
            file, self.names, self.module, previous.owner if previous else None, checker
        )
        self.rollouts = make_rollout_settings(file, checker)
        self.peers = make_peer_settings(file, checker)
        self.lease_cooldown_ns: int = previous.lease_cooldown_ns if previous else self.module.cold_window_ns
        if (
            self.peers is not None
            and self.peers.voters
            and self.module.cold_window_ns > self.lease_cooldown_ns
        ):
            most = (
                f"at most {self.lease_cooldown_ns // 1_000_000}ms while this process runs: "
                "leases rest so long"
            )
            raise checker.make_error("nodes.cold.window", file.nodes.cold.window, most)

    def with_policy(self, body: bytes, source: str) -> LoadedSettings:
        """Return these settings with another policy; `SettingsError` if it can't be used.

        Known names keep their index; names that the policy no longer has are closed."""
        policy = decode_policy(body, source)
        fields = {field: getattr(policy, field) for field in Policy.__struct_fields__}
        return LoadedSettings(msgspec.structs.replace(self.file, **fields), source, previous=self)

    def with_closed(self, queues: dict[str, Queue], kinds: dict[str, Kind]) -> LoadedSettings:
        """Return these settings with queues and kinds that only an earlier life had, closed."""
        before = msgspec.structs.replace(
            self.file,
            queues=queues | self.file.queues,
            kinds=kinds | self.file.kinds,
            default_queue=self.default_queue,
        )
        return LoadedSettings(self.file, self.source, previous=LoadedSettings(before, self.source))

    def tenant_index(self, account: str) -> int:
        """Return the index of the tenant that a job of this account counts for."""
        return self.tenants.index(account) if self.tenants.is_known(account) else 0


def _check_names(file: SettingsFile, checker: Checker) -> None:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*", file.server):
        raise checker.make_error("server", file.server, "a name of letters, digits, '-', '_' and '.'")
    if not file.queues:
        raise checker.make_error("queues", {}, "at least one queue")
    queues = ", ".join(file.queues)
    # Jsonnet sorts fields by name, so the first queue need not be the one written first.
    if not file.default_queue and len(file.queues) > 1:
        raise checker.make_error("default_queue", "", f"one of {queues}")
    if file.default_queue and file.default_queue not in file.queues:
        raise checker.make_error("default_queue", file.default_queue, f"one of {queues}")


def check(value: Any, source: str) -> LoadedSettings:
    """Check an evaluated file; `SettingsError` if it can't be used."""
    try:
        return LoadedSettings(msgspec.convert(value, SettingsFile), source)
    except msgspec.ValidationError as fault:
        raise make_validation_error(fault, source) from None


def evaluate(path: Path) -> Any:
    """Evaluate a Jsonnet file; `SettingsError` if that fails."""
    import _jsonnet

    try:
        return msgspec.json.decode(_jsonnet.evaluate_file(str(path)))
    except RuntimeError as fault:
        lines = [line.strip() for line in str(fault).splitlines() if line.strip()]
        raise SettingsError("; ".join(lines[:2])) from None


def load(path: Path) -> LoadedSettings:
    """Evaluate and check a file; `SettingsError` if it can't be used."""
    return check(evaluate(path), str(path))
