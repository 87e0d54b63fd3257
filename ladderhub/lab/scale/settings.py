"""What the processes of a run are told: settings of the schedulers, plans of nodes and of the load."""

from __future__ import annotations

import random
from typing import Any

from ladderhub.lab.scale.hollow_nodes import HostPlan, NodePlan
from ladderhub.lab.scale.hollow_schedulers import HollowPlan
from ladderhub.lab.scale.load import ClassPlan, LoadPlan, fill_times
from ladderhub.lab.scale.plan import Plan, Size
from ladderhub.pbs.resources import GIB, parse_size
from ladderhub.server.settings import parse_duration_ns

__all__ = [
    "CLUSTER", "HollowPlan", "elector_count", "host_plans", "load_plans", "node_plans", "team_names",
    "teams_settings", "text",
]  # fmt: skip
CLUSTER = "scale"
MS = 1_000_000


def text(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def elector_count(planned: int, schedulers: int) -> int:
    """An odd number, so that no cut leaves two equal parts; never more than there are schedulers."""
    most = min(planned, schedulers)
    return most - (most + 1) % 2


def team_names(count: int) -> list[str]:
    return [f"team-{at + 1:04d}" for at in range(count)]


def node_plans(plan: Plan, size: Size, seed: int) -> list[NodePlan]:
    """The nodes of a run: kinds in turn, filled rack by rack and zone by zone."""
    kinds = list(plan.settings["kinds"].items())
    nodes = []
    for at in range(size.nodes):
        kind, figures = kinds[at % len(kinds)]
        rack = at // plan.churn.nodes_per_rack
        zone = rack // plan.churn.racks_per_zone
        memory = parse_size(figures["memory"]) / GIB
        name = f"node-{at + 1:05d}"
        seeded = random.Random(f"{seed}/{name}").randrange(1 << 30)
        nodes.append(
            NodePlan(name, kind, figures["cores"], memory, f"rack-{rack + 1}", f"zone-{zone + 1}", seeded)
        )
    return nodes


def host_plans(plan: Plan, nodes: list[NodePlan], directory: tuple[str, int]) -> list[HostPlan]:
    """The nodes dealt over the processes that are to have them."""
    rules = plan.settings["nodes"]
    processes = min(plan.playing.node_processes, len(nodes))
    return [
        HostPlan(
            directory, nodes[at::processes], rules["admit_cores"], rules["admit_memory"],
            rules["cold"]["pace"], parse_duration_ns(rules["cold"]["span"], "nodes.cold.span"),
            round(plan.load.warm_ms * MS), plan.load.cold_times, rules["answers"],
        )
        for at in range(processes)
    ]  # fmt: skip


def teams_settings(plan: Plan, size: Size, nodes: list[NodePlan]) -> dict[str, Any]:
    """Each team with its quotas, as multiples of its even part."""
    rate = plan.quota.rate_times * size.starts_per_s / size.teams
    cores = plan.quota.cores_times * sum(node.cores for node in nodes) / size.teams
    quota = {"share": 1 / size.teams, "quota_per_s": rate, "quota_cores": cores}
    return {name: quota for name in team_names(size.teams)}


def load_plans(plan: Plan, size: Size, targets: list[tuple[str, int]], seed: int) -> list[LoadPlan]:
    """The load dealt over its processes."""
    life_s = size.running / size.starts_per_s
    classes = [
        ClassPlan(name, each.share, each.services, each.cores, each.memory_gib)
        for name, each in plan.load.classes.items()
    ]
    processes = plan.playing.load_processes
    return [
        LoadPlan(
            targets, size.starts_per_s / processes, plan.playing.fill_s,
            fill_times(plan.playing.fill_s, life_s), life_s, plan.load.life_least_s, classes,
            team_names(size.teams), random.Random(f"{seed}/load/{at}").randrange(1 << 30),
        )
        for at in range(processes)
    ]  # fmt: skip
