"""The load of the placement benchmarks on an emulated site: random tasks at a given rate."""

from __future__ import annotations

import argparse
import json
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ladderhub import interface as api
from ladderhub.lab.emulator.net import MS, S
from ladderhub.lab.emulator.placement import Site, TaskSpec

PLAN = Path(__file__).parents[1] / "ladderhub" / "lab" / "scale" / "plan.jsonnet"
URGENT, ORDINARY = 0, 1
SIZES, SIZE_WEIGHTS = (0.5, 1.0, 2.0), (4, 4, 2)  # cores of a task; one on average
MEMORY_PER_CORE = 2.0
FILLING_S = 5.0  # time to start the tasks that run at first
SETTLING_S = 5.0


def read_plan(path: Path) -> dict[str, float]:
    """Return the plan's figures by dotted names and its budgets by figure; empty if there is no file."""
    if not path.exists():
        return {}
    import _jsonnet

    plan = json.loads(_jsonnet.evaluate_file(str(path)))
    budgets = {each["figure"]: each["limit"] for each in plan["budgets"]}
    return dict(_flatten(plan, "")) | budgets


def _flatten(tree: dict[str, Any], prefix: str) -> Iterator[tuple[str, float]]:
    for name, value in tree.items():
        if isinstance(value, dict):
            yield from _flatten(value, f"{prefix}{name}.")
        elif isinstance(value, int | float):
            yield f"{prefix}{name}", value


@dataclass(frozen=True, slots=True)
class Figure:
    """An option whose default is the value of `key` in the plan, times `scale`."""

    key: str
    about: str
    scale: float = 1.0


NODES = Figure("size.nodes", "nodes")
STARTS = Figure("size.starts_per_s", "starts a second at the peak")
RUNNING = Figure("size.running", "tasks running at the peak")
TEAMS = Figure("size.teams", "teams with quotas")
SCHEDULERS = Figure("real_schedulers", "schedulers")
WITHIN = Figure("starts.urgent.p99_ms", "bound of an urgent start, in seconds", 0.001)
FAILED = Figure("churn.failed_per_day", "nodes that fail on a day")
REPLACED = Figure("churn.replaced_per_day", "nodes replaced on a day")
RESTARTED = Figure("churn.restarted_per_day", "nodes restarted on a day")


def add_figures(parser: argparse.ArgumentParser, figures: dict[str, Figure]) -> None:
    """Add an option for each figure, with its default from the plan file."""
    plan = read_plan(PLAN)
    for option, figure in figures.items():
        value = plan[figure.key] * figure.scale if figure.key in plan else None
        parser.add_argument(
            f"--{option}", type=float, default=value, required=value is None,
            help=f"{figure.about} (plan: {figure.key})",
        )  # fmt: skip


def build_classes(deadline_s: float) -> tuple[api.TaskClass, ...]:
    """Return the urgent and the ordinary class, which differ only in priority."""
    deadline = round(deadline_s * S)
    return (
        api.TaskClass(api.Effect.SAFE, 800 * MS, deadline, priority=2),
        api.TaskClass(api.Effect.SAFE, 800 * MS, deadline),
    )


@dataclass
class Load:
    """Random tasks of `teams` teams at `rate` a second.

    The share `urgent` of them is urgent; they run for `life_s` seconds on average.
    """

    site: Site
    rate: float
    life_s: float
    teams: int
    seed: int
    urgent: float = 0.1
    deadline_s: float = 6.0
    services: int = 460  # over all teams
    weights: list[float] = field(default_factory=list)  # cumulative, by team; empty if all are equal

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def draw_task(self) -> TaskSpec:
        """Draw a random task."""
        rng = self.random
        if self.weights:
            team = rng.choices(range(self.teams), cum_weights=self.weights)[0]
        else:
            team = rng.randrange(self.teams)
        klass = URGENT if rng.random() < self.urgent else ORDINARY
        service = f"t{team}-{rng.randrange(max(1, self.services // self.teams))}"
        cores = rng.choices(SIZES, SIZE_WEIGHTS)[0]
        life_ns = round(rng.expovariate(1 / self.life_s) * S)
        return TaskSpec(
            klass, team, service, cores, cores * MEMORY_PER_CORE, life_ns, round(self.deadline_s * S)
        )

    def submit_task(self) -> None:
        """Submit a random task to a random scheduler."""
        self.site.ask(self.random.choice(self.site.schedulers), self.draw_task())

    def fill(self, running: int) -> None:
        """Submit tasks so that `running` of them run after `FILLING_S`.

        Lives are exponentially distributed, so the number stays steady from then on.
        """
        net = self.site.net
        ended = 1 - math.exp(-FILLING_S / self.life_s)
        tasks = round(running * FILLING_S / self.life_s / ended)
        for at in range(tasks):
            net.call_at(net.now + round(FILLING_S * S * at / tasks), self.submit_task)
        net.run(net.now + round(FILLING_S * S))

    def run(self, seconds: float) -> None:
        """Submit tasks as a Poisson process for this long."""
        net = self.site.net
        end, at = net.now + round(seconds * S), net.now
        while True:
            at += round(self.random.expovariate(self.rate) * S)
            if at >= end:
                break
            net.call_at(at, self.submit_task)
        net.run(end)


def get_percentile(values: list[float], share: float) -> float:
    """Return the value below which this share of the values lies; NaN if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else float("nan")
