"""Builds the inputs of a run's processes: settings of the schedulers, plans of nodes and of the load."""

from __future__ import annotations

import random
from typing import Any

from ladderhub.lab.scale.hollow_nodes import HostPlan, NodePlan
from ladderhub.lab.scale.hollow_schedulers import HollowPlan
from ladderhub.lab.scale.load import ClassPlan, LoadPlan, compute_fill_factor
from ladderhub.lab.scale.plan import Plan, Size
from ladderhub.pbs.resources import GIB, parse_size
from ladderhub.server.settings import parse_duration_ns

__all__ = [
    "CLUSTER", "HollowPlan", "build_host_plans", "build_load_plans", "build_node_plans",
    "build_team_settings", "compute_elector_count", "format_address", "make_team_names",
]  # fmt: skip
CLUSTER = "scale"
MS = 1_000_000


def format_address(address: tuple[str, int]) -> str:
    """Return the address as `host:port`."""
    return "{}:{}".format(*address)


def compute_elector_count(planned: int, schedulers: int) -> int:
    """Return an odd number of voters, at most `planned` and at most the number of schedulers.

    It is odd so that a network partition can't split them into two equal halves."""
    limit = min(planned, schedulers)
    return limit - (limit + 1) % 2


def make_team_names(count: int) -> list[str]:
    """Return the names of `count` teams."""
    return [f"team-{index + 1:04d}" for index in range(count)]


def build_node_plans(plan: Plan, size: Size, seed: int) -> list[NodePlan]:
    """Return the nodes of a run: kinds alternate, and racks and zones are filled one after another."""
    kinds = list(plan.settings["kinds"].items())
    nodes = []
    for index in range(size.nodes):
        kind, resources = kinds[index % len(kinds)]
        rack = index // plan.churn.nodes_per_rack
        zone = rack // plan.churn.racks_per_zone
        memory = parse_size(resources["memory"]) / GIB
        name = f"node-{index + 1:05d}"
        node_seed = random.Random(f"{seed}/{name}").randrange(1 << 30)
        nodes.append(
            NodePlan(
                name, kind, resources["cores"], memory, f"rack-{rack + 1}", f"zone-{zone + 1}", node_seed
            )
        )
    return nodes


def build_host_plans(plan: Plan, nodes: list[NodePlan], directory: tuple[str, int]) -> list[HostPlan]:
    """Distribute the nodes among the processes that host them."""
    rules = plan.settings["nodes"]
    processes = min(plan.playing.node_processes, len(nodes))
    return [
        HostPlan(
            directory, nodes[index::processes], rules["admit_cores"], rules["admit_memory"],
            rules["cold"]["pace"], parse_duration_ns(rules["cold"]["span"], "nodes.cold.span"),
            round(plan.load.warm_ms * MS), plan.load.cold_times, rules["answers"],
        )
        for index in range(processes)
    ]  # fmt: skip


def build_team_settings(plan: Plan, size: Size, nodes: list[NodePlan]) -> dict[str, Any]:
    """Return each team's quotas, as multiples of an equal share among all teams."""
    rate = plan.quota.rate_times * size.starts_per_s / size.teams
    cores = plan.quota.cores_times * sum(node.cores for node in nodes) / size.teams
    quota = {"share": 1 / size.teams, "quota_per_s": rate, "quota_cores": cores}
    return {name: quota for name in make_team_names(size.teams)}


def build_load_plans(plan: Plan, size: Size, targets: list[tuple[str, int]], seed: int) -> list[LoadPlan]:
    """Distribute the load among its processes."""
    life_s = size.running / size.starts_per_s
    classes = [
        ClassPlan(name, each.share, each.services, each.cores, each.memory_gib)
        for name, each in plan.load.classes.items()
    ]
    processes = plan.playing.load_processes
    return [
        LoadPlan(
            targets, size.starts_per_s / processes, plan.playing.fill_s,
            compute_fill_factor(plan.playing.fill_s, life_s), life_s, plan.load.life_least_s, classes,
            make_team_names(size.teams), random.Random(f"{seed}/load/{index}").randrange(1 << 30),
        )
        for index in range(processes)
    ]  # fmt: skip
