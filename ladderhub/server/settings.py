"""Settings of the daemon: a Jsonnet file, evaluated and checked before anything starts.

Spans are written with a unit (`"800ms"`, `"6s"`, `"1m"`), memory as the batch interface has it (`"64gb"`).
Every fault is one `SettingsError`: the file, the path of the field, what was found and what was meant.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ladderhub import interface as api
from ladderhub.errors import LadderhubError
from ladderhub.loop import parse_address
from ladderhub.owner.types import OwnerSettings, QueueRules
from ladderhub.pbs import names
from ladderhub.pbs.resources import GIB, ResourceError, parse_size
from ladderhub.rollout.types import RolloutSettings

_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
_SPAN = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")
_SCOPES = {"none": "none", "node": "machine", "rack": "cell", "zone": "zone", "all": "all"}


class SettingsError(LadderhubError):
    """The settings can't be used: where, what was found, what was meant."""

    status, code = 2, names.BAD_ATTRIBUTE_VALUE
    remedy = "mend that field; `ladderhub check FILE` says whether the file is good without starting anything"


def span_ns(text: str, where: str) -> int:
    """Nanoseconds of a span with its unit."""
    match = _SPAN.fullmatch(text.strip())
    if match is None:
        raise SettingsError(f"found {text!r}", where=where, meant="a time with its unit, as 800ms, 6s or 5m,")
    return round(float(match[1]) * _UNITS[match[2]])


def address_of(text: str, where: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as fault:
        raise SettingsError(str(fault), where=where) from None


class Spread(msgspec.Struct, forbid_unknown_fields=True):
    over: str
    most: int


class Repeats(msgspec.Struct, forbid_unknown_fields=True):
    """How long, and in which group of nodes, repeats of a keyed job are discarded."""

    over: str = "all"
    window: str = "5s"


class Queue(msgspec.Struct, forbid_unknown_fields=True):
    effect: str
    aim: str
    deadline: str
    limit: str
    priority: int = 0
    kind: str = ""
    spread: Spread | None = None
    repeats: Repeats | None = None
    worth: float = 1.0
    late_worth: float = 0.0
    start_worth_s: float = 10.0
    calm_level: float = 0.8
    fade: float = 0.2
    asks: int = 8
    reruns: int = 100
    stay_first: str = "500ms"
    stay_most: str = "4s"
    settle: str = "300ms"
    default_cpus: float = 1.0
    default_mem: str = "1gb"


class TenantShare(msgspec.Struct, forbid_unknown_fields=True):
    share: float = 1.0
    quota_per_s: float = 0.0
    quota_cores: float = 0.0


class Kind(msgspec.Struct, forbid_unknown_fields=True):
    cores: float
    memory: str


class Cold(msgspec.Struct, forbid_unknown_fields=True):
    pace: float = 1.0
    span: str = "0s"
    window: str = "0s"
    multiple: float = 1.0
    safe_offers: float = 0.0


class Nodes(msgspec.Struct, forbid_unknown_fields=True):
    """How nodes behave: when they answer, how far they admit, what they tell."""

    answers: str = "running"
    admit_cores: float = 1.0
    admit_memory: float = 1.0
    most_attempts: int = 3
    drain_grace: str = "500ms"
    list_shows_room: bool = True
    push_out: bool = False
    cold: Cold = msgspec.field(default_factory=Cold)
    connect: str = "250ms"


class Prices(msgspec.Struct, forbid_unknown_fields=True):
    move: float = 0.0
    eviction_moves: float = 1.0
    nodes_in_use: float = 0.0
    waste: float = 0.0
    refused_offer: float = 0.0
    cross_zone: float = 0.0


class Again(msgspec.Struct, forbid_unknown_fields=True):
    share: float = 0.5
    burst: float = 200.0


class Rollouts(msgspec.Struct, forbid_unknown_fields=True):
    """Of all updates of services together."""

    at_once: int = 50
    turn: int = 4
    back_first: str = "1s"
    back_most: str = "60s"


class Peers(msgspec.Struct, forbid_unknown_fields=True):
    """The other schedulers.  `listen`: where datagrams come; `advertise`: where peers find that, if
    elsewhere; `seeds`: some peers to begin with; `cluster`: a name that keeps fleets on one network apart."""

    listen: str
    seeds: list[str]
    advertise: str = ""
    cluster: str = "ladderhub"
    period: str = "1s"
    electors: list[str] = []  # peer addresses; they vote on leases; none: slots stay with `ordinal`
    lease: str = "8s"


class Log(msgspec.Struct, forbid_unknown_fields=True):
    format: str = "json"
    level: str = "info"


class File(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file."""

    server: str
    listen: str
    directory: str
    spool: str
    queues: dict[str, Queue]
    kinds: dict[str, Kind]
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    tenants: dict[str, TenantShare] = {}
    default_queue: str = ""
    http: str = ""
    advertise: str = ""
    schedulers: int = 1
    ordinal: int = 0
    zone: str = ""
    seed: int = 1
    prices: Prices = msgspec.field(default_factory=Prices)
    again: Again = msgspec.field(default_factory=Again)
    peers: Peers | None = None
    rollouts: Rollouts = msgspec.field(default_factory=Rollouts)
    keep_finished: str = "10m"
    most_jobs: int = 200_000
    most_connections: int = 2000
    stop_within: str = "5s"
    log: Log = msgspec.field(default_factory=Log)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Checked settings of `peers`."""

    listen: tuple[str, int]
    advertise: str
    seeds: tuple[str, ...]
    cluster: str
    period_ns: int
    voters: tuple[str, ...]  # `electors` in the file
    lease_ns: int


class Loaded:
    """Checked settings in the terms of those who use them."""

    def __init__(self, file: File, source: str) -> None:
        self.file, self.source = file, source
        if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*", file.server):
            raise self._wrong("server", file.server, "a name of letters, digits, '-', '_' and '.'")
        if not file.queues:
            raise self._wrong("queues", {}, "at least one queue")
        self.listen = address_of(file.listen, f"{source}: listen")
        self.http = address_of(file.http, f"{source}: http") if file.http else None
        self.directory = address_of(file.directory, f"{source}: directory")
        self.queue_names = list(file.queues)
        self.kind_names = list(file.kinds)
        self.tenant_names = list(file.tenants)
        # Jsonnet puts fields in alphabetical order, so «the first» would not be what was written first.
        if not file.default_queue and len(self.queue_names) > 1:
            raise self._wrong("default_queue", "", "one of " + ", ".join(self.queue_names))
        self.default_queue = file.default_queue or self.queue_names[0]
        if self.default_queue not in file.queues:
            raise self._wrong("default_queue", file.default_queue, "one of " + ", ".join(self.queue_names))
        self.keep_finished_ns = self._span("keep_finished", file.keep_finished)
        self.stop_within_ns = self._span("stop_within", file.stop_within)
        self.connect_ns = self._span("nodes.connect", file.nodes.connect)
        self.default_memory = [
            self._size(f"queues.{name}.default_mem", queue.default_mem) for name, queue in file.queues.items()
        ]
        self.module = self._module()
        self.owner = self._owner()
        self.rollouts = self._rollouts()
        self.peers = self._peers() if file.peers is not None else None

    def _wrong(self, path: str, found: object, meant: str) -> SettingsError:
        return SettingsError(f"found {found!r}", where=f"{self.source}: {path}", meant=meant)

    def _span(self, path: str, text: str) -> int:
        return span_ns(text, f"{self.source}: {path}")

    def _size(self, path: str, text: str) -> float:
        try:
            return parse_size(text) / GIB
        except ResourceError:
            raise self._wrong(path, text, "a size with its unit, as 64gb,") from None

    def _choice(self, path: str, table: dict[str, str], word: str) -> str:
        if word not in table:
            raise self._wrong(path, word, "one of " + ", ".join(table))
        return table[word]

    def _klass(self, name: str, queue: Queue) -> api.TaskClass:
        path = f"queues.{name}"
        effects = {effect.value: effect.value for effect in api.Effect}
        spread, repeats = queue.spread, queue.repeats or Repeats()
        if queue.kind and queue.kind not in self.kind_names:
            raise self._wrong(f"{path}.kind", queue.kind, "one of " + ", ".join(self.kind_names))
        if spread is not None and spread.most < 1:
            raise self._wrong(f"{path}.spread.most", spread.most, "at least 1")
        return api.TaskClass(
            effect=api.Effect(self._choice(f"{path}.effect", effects, queue.effect)),
            aim_ns=self._span(f"{path}.aim", queue.aim),
            deadline_ns=self._span(f"{path}.deadline", queue.deadline),
            dedupe_scope=api.Scope(self._choice(f"{path}.repeats.over", _SCOPES, repeats.over)),
            dedupe_window_ns=self._span(f"{path}.repeats.window", repeats.window),
            worth=queue.worth,
            late_worth=queue.late_worth,
            start_worth_s=queue.start_worth_s,
            kind=self.kind_names.index(queue.kind) if queue.kind else -1,
            spread=api.Scope(self._choice(f"{path}.spread.over", _SCOPES, spread.over) if spread else "none"),
            spread_most=spread.most if spread else 1,
            priority=queue.priority,
            calm_level=queue.calm_level,
            fade=queue.fade,
        )

    def _module(self) -> api.Settings:
        file, nodes = self.file, self.file.nodes
        kinds = tuple(
            api.MachineKind(kind.cores, self._size(f"kinds.{name}.memory", kind.memory))
            for name, kind in file.kinds.items()
        )
        answers = self._choice("nodes.answers", {"running": "running", "accepted": "accepted"}, nodes.answers)
        classes = tuple(self._klass(name, queue) for name, queue in file.queues.items())
        tenants = file.tenants.values()
        try:
            return api.Settings(
                classes=classes,
                kinds=kinds,
                tenants=tuple(api.Tenant(each.share, each.quota_per_s, each.quota_cores) for each in tenants),
                schedulers=file.schedulers,
                ordinal=file.ordinal,
                zone=0,
                max_attempts=nodes.most_attempts,
                admit_cores=nodes.admit_cores,
                admit_memory=nodes.admit_memory,
                first_at_running=answers == "running",
                machines_push_out=nodes.push_out,
                list_shows_room=nodes.list_shows_room,
                may_abort=True,
                drain_grace_ns=self._span("nodes.drain_grace", nodes.drain_grace),
                cold_pace=nodes.cold.pace,
                cold_span_ns=self._span("nodes.cold.span", nodes.cold.span),
                cold_window_ns=self._span("nodes.cold.window", nodes.cold.window),
                cold_multiple=nodes.cold.multiple,
                cold_safe_offers=nodes.cold.safe_offers,
                price_move=file.prices.move,
                price_eviction_moves=file.prices.eviction_moves,
                price_machines_in_use=file.prices.nodes_in_use,
                price_waste=file.prices.waste,
                price_refused_offer=file.prices.refused_offer,
                price_cross_zone=file.prices.cross_zone,
            )
        except ValueError as fault:
            raise SettingsError(str(fault), where=self.source) from None

    def _owner(self) -> OwnerSettings:
        queues = []
        for (name, queue), klass in zip(self.file.queues.items(), self.module.classes, strict=True):
            path = f"queues.{name}"
            queues.append(
                QueueRules(
                    effect=klass.effect,
                    limit_ns=self._span(f"{path}.limit", queue.limit),
                    ask_ns=klass.deadline_ns,
                    priority=queue.priority,
                    asks=queue.asks,
                    reruns=queue.reruns,
                    stay_first_ns=self._span(f"{path}.stay_first", queue.stay_first),
                    stay_most_ns=self._span(f"{path}.stay_most", queue.stay_most),
                    settle_ns=self._span(f"{path}.settle", queue.settle),
                )
            )
        try:
            return OwnerSettings(tuple(queues), self.file.again.share, self.file.again.burst)
        except ValueError as fault:
            raise SettingsError(str(fault), where=self.source) from None

    def _peers(self) -> PeerSettings:
        given = self.file.peers
        assert given is not None
        for at, seed in enumerate(given.seeds):
            address_of(seed, f"{self.source}: peers.seeds[{at}]")
        listen = address_of(given.listen, f"{self.source}: peers.listen")
        advertise = given.advertise or given.listen
        host, port = address_of(advertise, f"{self.source}: peers.advertise")
        if host in ("0.0.0.0", "") or port == 0 or len(advertise) > 64:
            raise self._wrong("peers.advertise", advertise, "an address that peers can reach, HOST:PORT,")
        if not given.cluster:
            raise self._wrong("peers.cluster", given.cluster, "the name of the cluster")
        if len(self.file.server) > 64:
            raise self._wrong("server", self.file.server, "a name of at most 64 characters (peers carry it)")
        period_ns = self._span("peers.period", given.period)
        if not 50_000_000 <= period_ns <= 60_000_000_000:
            raise self._wrong("peers.period", given.period, "50ms to 60s")
        from ladderhub.membership.messages import MAX_SLOTS  # not loaded where there are no peers

        for at, elector in enumerate(given.electors):
            address_of(elector, f"{self.source}: peers.electors[{at}]")
        if len(set(given.electors)) != len(given.electors):
            raise self._wrong("peers.electors", given.electors, "each address once")
        lease_ns = self._span("peers.lease", given.lease)
        if given.electors and lease_ns < 4 * period_ns:
            raise self._wrong("peers.lease", given.lease, "four periods or more")
        if given.electors and self.file.schedulers > MAX_SLOTS:
            raise self._wrong("schedulers", self.file.schedulers, f"at most {MAX_SLOTS} with electors")
        seeds, voters = tuple(given.seeds), tuple(given.electors)
        return PeerSettings(listen, advertise, seeds, given.cluster, period_ns, voters, lease_ns)

    def _rollouts(self) -> RolloutSettings:
        given = self.file.rollouts
        try:
            return RolloutSettings(
                given.at_once, given.turn, self._span("rollouts.back_first", given.back_first),
                self._span("rollouts.back_most", given.back_most),
            )  # fmt: skip
        except ValueError as fault:
            raise SettingsError(f"rollouts.{fault}", where=self.source) from None


def check(value: Any, source: str) -> Loaded:
    """Check an evaluated file."""
    try:
        return Loaded(msgspec.convert(value, File), source)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at `$")
        where = path.rstrip("`").lstrip(".") or "the file"
        raise SettingsError(text, where=f"{source}: {where}") from None


def load(path: Path) -> Loaded:
    """Evaluate and check a file; `SettingsError` where it can't be used."""
    import _jsonnet

    try:
        text = _jsonnet.evaluate_file(str(path))
    except RuntimeError as fault:
        lines = [line.strip() for line in str(fault).splitlines() if line.strip()]
        raise SettingsError("; ".join(lines[:2])) from None
    return check(msgspec.json.decode(text), str(path))
