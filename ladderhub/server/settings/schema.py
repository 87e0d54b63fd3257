"""The settings file as it is written: its fields, their types and defaults.

`Policy` holds what all schedulers of a fleet share: the queues, tenants and kinds of node, and their terms.
`SettingsFile` adds what belongs to one process: its addresses, files, directory and peers; its position in
the fleet (`schedulers`, `ordinal`, `zone`, `seed`), which differs from the others'; and limits of its own
machine (`most_jobs`, `most_connections`, `stop_within`, `log`).  These must not be part of a policy revision,
which would give the same values to every scheduler.
"""

from __future__ import annotations

import msgspec


class Spread(msgspec.Struct, forbid_unknown_fields=True):
    """At most `most` jobs of one service on the nodes of one group, such as a rack."""

    over: str
    most: int


class Repeats(msgspec.Struct, forbid_unknown_fields=True):
    """For how long, and within which group of nodes, repeats of a keyed job are discarded."""

    over: str = "all"
    window: str = "5s"


class Queue(msgspec.Struct, forbid_unknown_fields=True):
    """What the jobs of one queue are promised, and how their placement is retried."""

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
    """A tenant's share, and the quotas up to which it counts as within its share."""

    share: float = 1.0
    quota_per_s: float = 0.0
    quota_cores: float = 0.0


class Kind(msgspec.Struct, forbid_unknown_fields=True):
    """Capacity of the nodes of one kind."""

    cores: float
    memory: str


class Cold(msgspec.Struct, forbid_unknown_fields=True):
    """How slowly a freshly started node starts jobs, and the budget of offers to it."""

    pace: float = 1.0
    span: str = "0s"
    window: str = "0s"
    multiple: float = 1.0
    safe_offers: float = 0.0


class Nodes(msgspec.Struct, forbid_unknown_fields=True):
    """How nodes behave: when they answer, how much they admit, what they report."""

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
    """Prices by which the decision module compares placements."""

    move: float = 0.0
    eviction_moves: float = 1.0
    nodes_in_use: float = 0.0
    waste: float = 0.0
    refused_offer: float = 0.0
    cross_zone: float = 0.0


class Again(msgspec.Struct, forbid_unknown_fields=True):
    """Retry budget: `share` retries are added per new job, up to `burst`."""

    share: float = 0.5
    burst: float = 200.0


class Rollouts(msgspec.Struct, forbid_unknown_fields=True):
    """Limits for all updates of services together."""

    at_once: int = 50
    turn: int = 4
    back_first: str = "1s"
    back_most: str = "60s"


class Peers(msgspec.Struct, forbid_unknown_fields=True):
    """The other schedulers.  `listen`: address for datagrams; `advertise`: the address that peers use, if
    another; `seeds`: some peers to join by; `cluster`: name that separates fleets on one network."""

    listen: str
    seeds: list[str]
    advertise: str = ""
    cluster: str = "ladderhub"
    period: str = "1s"
    electors: list[str] = []  # addresses of the voters on leases; if empty, slots are assigned by `ordinal`
    lease: str = "8s"


class Log(msgspec.Struct, forbid_unknown_fields=True):
    """Format and level of the log."""

    format: str = "json"
    level: str = "info"


class Policy(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings that all schedulers of a fleet share; they may change at run time."""

    queues: dict[str, Queue]
    kinds: dict[str, Kind]
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    tenants: dict[str, TenantShare] = {}
    default_queue: str = ""
    prices: Prices = msgspec.field(default_factory=Prices)
    again: Again = msgspec.field(default_factory=Again)
    rollouts: Rollouts = msgspec.field(default_factory=Rollouts)
    keep_finished: str = "10m"


class SettingsFile(Policy, forbid_unknown_fields=True, kw_only=True):
    """The whole settings file."""

    server: str
    listen: str
    directory: str
    spool: str
    http: str = ""
    advertise: str = ""
    schedulers: int = 1
    ordinal: int = 0
    zone: str = ""
    seed: int = 1
    peers: Peers | None = None
    most_jobs: int = 200_000
    most_connections: int = 2000
    stop_within: str = "5s"
    log: Log = msgspec.field(default_factory=Log)
