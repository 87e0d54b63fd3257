"""The plan of a scale run as data: its file, its types, and the options that override it."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.errors.base import BAD_VALUE, SYSTEM, LadderhubError

DIMENSIONS = ("nodes", "starts_per_s", "running", "teams", "schedulers", "changes_per_h")
_DAY_S = 86_400.0


class PlanError(LadderhubError):
    """The plan of a scale run can't be used."""

    status, code = 2, BAD_VALUE
    remedy = "mend that field of the plan; `ladderhub/lab/scale/plan.jsonnet` is a plan that can be used"


class ScaleError(LadderhubError):
    """A scale run could not be played to its end: its figures say nothing."""

    status, code = 1, SYSTEM
    remedy = "look at the logs under the run's folder, or play a smaller size with fewer processes beside it"


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The dimensions of one run.  `schedulers`: real and hollow ones; `changes_per_h`: as they are played."""

    nodes: int
    starts_per_s: float
    running: int
    teams: int
    schedulers: int
    changes_per_h: float

    def value(self, dimension: str) -> float:
        return float(getattr(self, dimension))


class Churn(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Troubles of nodes a day, and by how much faster than a day they come."""

    failed_per_day: float
    replaced_per_day: float
    restarted_per_day: float
    node_back_s: float
    speedup: float
    nodes_per_rack: int
    racks_per_zone: int
    rack_lost_at: float
    rack_back_s: float


class Playing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a size is played, and within which bounds."""

    fill_s: float
    measure_s: float
    full_measure_s: float
    settle_s: float
    register_s: float
    ready_s: float
    join_s: float
    node_processes: int
    hollow_processes: int
    load_processes: int
    memory_gib_most: float
    processes_most: int
    run_s_most: float
    waited_most: float  # how long processes may wait for a processor before a run's times say nothing


class SlopeRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where slopes are taken, and when a line counts as straight."""

    shares: list[float]
    held_at: float
    changes_speedup: float
    residual_most: float
    flat: float
    error_most: float


class JobClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Jobs of one queue: their share of all, and what they ask for."""

    share: float
    services: int
    cores: list[float]
    memory_gib: float


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is submitted, and how long emulated work takes to start."""

    classes: dict[str, JobClass]
    life_least_s: float
    warm_ms: float
    cold_times: float


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Each team's quotas, as multiples of its even part."""

    rate_times: float
    cores_times: float


class PeerRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Membership and leases among the schedulers."""

    period: str
    lease: str
    electors: int
    seeds: int


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which causes of processor time count as control, and which kinds of messages do not."""

    causes: list[str]
    job_kinds: list[str]


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The most that a figure may be."""

    figure: str
    limit: float


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    size: Size
    real_schedulers: int
    seed: int
    churn: Churn
    playing: Playing
    slopes: SlopeRules
    load: Load
    settings: dict[str, Any]
    quota: Quota
    peers: PeerRules
    control: Control
    budgets: list[Budget]

    def played(self) -> Size:
        """The whole size as it is played: changes of configuration come as much faster as troubles do."""
        return msgspec.structs.replace(self.size, changes_per_h=self.size.changes_per_h * self.churn.speedup)

    def troubles_per_s(self, per_day: float, nodes: int) -> float:
        """How often a trouble comes among so many nodes, sped up."""
        return per_day / _DAY_S * self.churn.speedup * nodes / self.size.nodes


def default_plan_file() -> Path:
    """The plan that comes with the program."""
    return Path(str(resources.files("ladderhub.lab.scale") / "plan.jsonnet"))


def load_plan(file: Path | None = None) -> Plan:
    """Read and check a plan; `PlanError` where it can't be used."""
    import _jsonnet

    path = file or default_plan_file()
    try:
        text = _jsonnet.evaluate_file(str(path))
    except RuntimeError as fault:
        raise PlanError(str(fault).splitlines()[0], where=str(path)) from None
    try:
        return checked(msgspec.json.decode(text, type=Plan), str(path))
    except msgspec.ValidationError as fault:
        raise PlanError(str(fault), where=str(path)) from None


def checked(plan: Plan, source: str = "the plan") -> Plan:
    """The plan itself; `PlanError` where its fields do not fit together."""
    size = plan.size
    for name in DIMENSIONS:
        if size.value(name) < 0:
            raise PlanError(
                f"found {size.value(name):g}", where=f"{source}: size.{name}", expected="0 or more"
            )
    for name in ("nodes", "starts_per_s", "running", "teams"):
        if size.value(name) <= 0:
            raise PlanError("found 0", where=f"{source}: size.{name}", expected="more than 0")
    if not 1 <= plan.real_schedulers <= size.schedulers:
        found = f"found {plan.real_schedulers} of {size.schedulers}"
        raise PlanError(found, where=f"{source}: real_schedulers", expected="1 up to size.schedulers")
    total = sum(each.share for each in plan.load.classes.values())
    if abs(total - 1) > 1e-6:
        raise PlanError(
            f"found a sum of {total:g}", where=f"{source}: load.classes", expected="shares that add to 1"
        )
    if set(plan.load.classes) - set(plan.settings.get("queues", {})):
        raise PlanError(
            "found a class without a queue", where=f"{source}: load.classes", expected="a queue for each"
        )
    if len(plan.slopes.shares) < 3 or plan.slopes.held_at not in plan.slopes.shares:
        raise PlanError(
            "found no line", where=f"{source}: slopes", expected="three shares, held_at one of them"
        )
    if plan.churn.speedup <= 0:
        raise PlanError("found 0", where=f"{source}: churn.speedup", expected="more than 0")
    return plan


class Overrides(msgspec.Struct, frozen=True):
    """What the command's options say; None leaves what the plan says."""

    schedulers: int | None = None
    hollow_schedulers: int | None = None
    nodes: int | None = None
    starts: float | None = None
    running: int | None = None
    teams: int | None = None
    changes: float | None = None
    seconds: float | None = None
    seed: int | None = None
    speedup: float | None = None


def overridden(plan: Plan, options: Overrides) -> Plan:
    """The plan with the options in place of its own values; `PlanError` where they do not fit."""

    def either(given: Any, planned: Any) -> Any:
        return planned if given is None else given

    hollow = either(options.hollow_schedulers, plan.size.schedulers - plan.real_schedulers)
    real = either(options.schedulers, plan.real_schedulers)
    size = Size(
        nodes=either(options.nodes, plan.size.nodes),
        starts_per_s=either(options.starts, plan.size.starts_per_s),
        running=either(options.running, plan.size.running),
        teams=either(options.teams, plan.size.teams),
        schedulers=real + hollow,
        changes_per_h=either(options.changes, plan.size.changes_per_h),
    )
    replace = msgspec.structs.replace
    playing = replace(
        plan.playing,
        measure_s=either(options.seconds, plan.playing.measure_s),
        full_measure_s=either(options.seconds, plan.playing.full_measure_s),
    )
    changed = replace(
        plan, size=size, real_schedulers=real, seed=either(options.seed, plan.seed), playing=playing,
        churn=replace(plan.churn, speedup=either(options.speedup, plan.churn.speedup)),
    )  # fmt: skip
    return checked(changed, "the plan with the options")


def slope_sizes(plan: Plan) -> dict[str, list[tuple[float, Size]]]:
    """For each dimension the shares and sizes at which it is moved while all others are held."""
    base = at_shares(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    sizes: dict[str, list[tuple[float, Size]]] = {}
    for dimension in DIMENSIONS:
        if plan.size.value(dimension) == 0:
            continue
        moved = dict.fromkeys(DIMENSIONS, plan.slopes.held_at)
        points = []
        for share in plan.slopes.shares:
            size = base if share == plan.slopes.held_at else at_shares(plan, moved | {dimension: share})
            points.append((share, size))
        sizes[dimension] = points
    return sizes


def at_shares(plan: Plan, shares: dict[str, float]) -> Size:
    """The size of a slope's run, each dimension at its share; no fewer schedulers than the real ones."""
    whole = plan.size
    return Size(
        nodes=max(1, round(whole.nodes * shares["nodes"])),
        starts_per_s=whole.starts_per_s * shares["starts_per_s"],
        running=max(1, round(whole.running * shares["running"])),
        teams=max(1, round(whole.teams * shares["teams"])),
        schedulers=max(plan.real_schedulers, round(whole.schedulers * shares["schedulers"])),
        changes_per_h=whole.changes_per_h * shares["changes_per_h"] * plan.slopes.changes_speedup,
    )
