"""Plan of a scale run: its types, loading and validation of its file, and command-line overrides."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.errors.base import BAD_VALUE, SYSTEM, LadderhubError

DIMENSIONS = ("nodes", "starts_per_s", "running", "teams", "schedulers", "changes_per_h")
_DAY_S = 86_400.0


class PlanError(LadderhubError):
    """The plan of a scale run is invalid."""

    status, code = 2, BAD_VALUE
    remedy = "mend that field of the plan; `ladderhub/lab/scale/plan.jsonnet` is a plan that can be used"


class ScaleError(LadderhubError):
    """A scale run could not be completed, so its figures are invalid."""

    status, code = 1, SYSTEM
    remedy = "look at the logs under the run's folder, or play a smaller size with fewer processes beside it"


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The dimensions of one run.

    `schedulers` counts real and hollow ones.  `changes_per_h` of a run is the accelerated rate."""

    nodes: int
    starts_per_s: float
    running: int
    teams: int
    schedulers: int
    changes_per_h: float

    def get_value(self, dimension: str) -> float:
        """Return the value of the dimension with this name."""
        return float(getattr(self, dimension))


class Churn(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Failures, replacements and restarts of nodes per day, and the factor by which they are accelerated."""

    failed_per_day: float
    replaced_per_day: float
    restarted_per_day: float
    node_back_s: float
    speedup: float
    nodes_per_rack: int
    racks_per_zone: int
    rack_lost_at: float
    rack_back_s: float


class RunSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations, process counts and resource limits of a run."""

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
    waited_most: float  # share of the time spent waiting for a processor above which times are unreliable


class SlopeRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The sizes at which slopes are measured, and the tolerances for linearity and prediction errors."""

    shares: list[float]
    held_at: float
    changes_speedup: float
    residual_most: float
    flat: float
    error_most: float


class JobClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Jobs of one queue: their share of all jobs, and the resources that they request."""

    share: float
    services: int
    cores: list[float]
    memory_gib: float


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The jobs that are submitted, and the start-up time of emulated work."""

    classes: dict[str, JobClass]
    life_least_s: float
    warm_ms: float
    cold_times: float


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Each team's quotas, as multiples of an equal share among all teams."""

    rate_times: float
    cores_times: float


class PeerRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of membership and leases among the schedulers."""

    period: str
    lease: str
    electors: int
    seeds: int


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The causes of processor time that count as control work, and the message kinds that do not."""

    causes: list[str]
    job_kinds: list[str]


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upper limit of a figure."""

    figure: str
    limit: float


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of a plan file."""

    size: Size
    real_schedulers: int
    seed: int
    churn: Churn
    playing: RunSettings
    slopes: SlopeRules
    load: Load
    settings: dict[str, Any]
    quota: Quota
    peers: PeerRules
    control: Control
    budgets: list[Budget]

    def compute_accelerated_size(self) -> Size:
        """Return the full size with configuration changes accelerated by the same factor as node churn."""
        return msgspec.structs.replace(self.size, changes_per_h=self.size.changes_per_h * self.churn.speedup)

    def compute_churn_rate(self, per_day: float, nodes: int) -> float:
        """Return the accelerated rate of a churn event among `nodes` nodes."""
        return per_day / _DAY_S * self.churn.speedup * nodes / self.size.nodes


def get_default_plan_path() -> Path:
    """Return the path of the plan that is installed with the package."""
    return Path(str(resources.files("ladderhub.lab.scale") / "plan.jsonnet"))


def load_plan(file: Path | None = None) -> Plan:
    """Read and validate a plan.  Raises `PlanError` if it is invalid."""
    import _jsonnet

    path = file or get_default_plan_path()
    try:
        text = _jsonnet.evaluate_file(str(path))
    except RuntimeError as error:
        raise PlanError(str(error).splitlines()[0], where=str(path)) from None
    try:
        return validate_plan(msgspec.json.decode(text, type=Plan), str(path))
    except msgspec.ValidationError as error:
        raise PlanError(str(error), where=str(path)) from None


def validate_plan(plan: Plan, source: str = "the plan") -> Plan:
    """Return the plan.  Raises `PlanError` if its fields are inconsistent."""
    size = plan.size
    for name in DIMENSIONS:
        if size.get_value(name) < 0:
            raise PlanError(
                f"found {size.get_value(name):g}", where=f"{source}: size.{name}", expected="0 or more"
            )
    for name in ("nodes", "starts_per_s", "running", "teams"):
        if size.get_value(name) <= 0:
            raise PlanError("found 0", where=f"{source}: size.{name}", expected="more than 0")
    if not 1 <= plan.real_schedulers <= size.schedulers:
        found = f"found {plan.real_schedulers} of {size.schedulers}"
        raise PlanError(found, where=f"{source}: real_schedulers", expected="1 up to size.schedulers")
    total = sum(each.share for each in plan.load.classes.values())
    if abs(total - 1) > 1e-6:
        raise PlanError(
            f"found a sum of {total:g}", where=f"{source}: load.classes", expected="shares with a sum of 1"
        )
    if set(plan.load.classes) - set(plan.settings.get("queues", {})):
        raise PlanError(
            "a class has no queue in settings.queues",
            where=f"{source}: load.classes",
            expected="a queue for each class",
        )
    if len(plan.slopes.shares) < 3 or plan.slopes.held_at not in plan.slopes.shares:
        raise PlanError(
            "no line can be fitted",
            where=f"{source}: slopes",
            expected="at least three shares that include held_at",
        )
    if plan.churn.speedup <= 0:
        raise PlanError("found 0", where=f"{source}: churn.speedup", expected="more than 0")
    return plan


class Overrides(msgspec.Struct, frozen=True):
    """Values from the command line; None keeps the value of the plan."""

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


def apply_overrides(plan: Plan, overrides: Overrides) -> Plan:
    """Return the plan with the given overrides.  Raises `PlanError` if the result is inconsistent."""

    def choose(override: Any, planned: Any) -> Any:
        return planned if override is None else override

    hollow = choose(overrides.hollow_schedulers, plan.size.schedulers - plan.real_schedulers)
    real = choose(overrides.schedulers, plan.real_schedulers)
    size = Size(
        nodes=choose(overrides.nodes, plan.size.nodes),
        starts_per_s=choose(overrides.starts, plan.size.starts_per_s),
        running=choose(overrides.running, plan.size.running),
        teams=choose(overrides.teams, plan.size.teams),
        schedulers=real + hollow,
        changes_per_h=choose(overrides.changes, plan.size.changes_per_h),
    )
    replace = msgspec.structs.replace
    playing = replace(
        plan.playing,
        measure_s=choose(overrides.seconds, plan.playing.measure_s),
        full_measure_s=choose(overrides.seconds, plan.playing.full_measure_s),
    )
    changed = replace(
        plan, size=size, real_schedulers=real, seed=choose(overrides.seed, plan.seed), playing=playing,
        churn=replace(plan.churn, speedup=choose(overrides.speedup, plan.churn.speedup)),
    )  # fmt: skip
    return validate_plan(changed, "the plan with the options")


def compute_slope_sizes(plan: Plan) -> dict[str, list[tuple[float, Size]]]:
    """Return for each dimension the shares and sizes at which it varies while all others are held."""
    base = scale_size(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    sizes: dict[str, list[tuple[float, Size]]] = {}
    for dimension in DIMENSIONS:
        if plan.size.get_value(dimension) == 0:
            continue
        moved = dict.fromkeys(DIMENSIONS, plan.slopes.held_at)
        points = []
        for share in plan.slopes.shares:
            size = base if share == plan.slopes.held_at else scale_size(plan, moved | {dimension: share})
            points.append((share, size))
        sizes[dimension] = points
    return sizes


def scale_size(plan: Plan, shares: dict[str, float]) -> Size:
    """Return the size of a slope run, each dimension scaled by its share.

    It has at least as many schedulers as there are real ones."""
    full_size = plan.size
    return Size(
        nodes=max(1, round(full_size.nodes * shares["nodes"])),
        starts_per_s=full_size.starts_per_s * shares["starts_per_s"],
        running=max(1, round(full_size.running * shares["running"])),
        teams=max(1, round(full_size.teams * shares["teams"])),
        schedulers=max(plan.real_schedulers, round(full_size.schedulers * shares["schedulers"])),
        changes_per_h=full_size.changes_per_h * shares["changes_per_h"] * plan.slopes.changes_speedup,
    )
