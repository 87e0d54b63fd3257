"""The troubles of nodes during a run, drawn from its seed before it begins."""

from __future__ import annotations

import random

import msgspec

from ladderhub.lab.scale.plan import Plan


class Trouble(msgspec.Struct, frozen=True):
    """One command to the process that has the node, at a moment of the measured span."""

    at_s: float
    node: str
    command: str


def draw_troubles(
    plan: Plan, nodes: list[str], racks: dict[str, str], seconds: float, seed: int, lose_a_rack: bool
) -> list[Trouble]:
    """Failures, replacements and restarts at the plan's sped-up rates; one rack at once where asked for.

    A node has at most one trouble in a run: a second one would often meet it while it is down."""
    chance = random.Random(seed)
    churn = plan.churn
    left = list(nodes)
    chance.shuffle(left)
    troubles = []
    if lose_a_rack and left:
        rack = racks[left[-1]]
        lost = [node for node in left if racks[node] == rack]
        left = [node for node in left if racks[node] != rack]
        at_s = seconds * churn.rack_lost_at
        troubles += [Trouble(at_s, node, f"crash {node} {churn.rack_back_s:g}") for node in lost]
    for kind, per_day in (
        ("crash", churn.failed_per_day), ("replace", churn.replaced_per_day),
        ("restart", churn.restarted_per_day),
    ):  # fmt: skip
        rate = plan.troubles_per_s(per_day, len(nodes))
        at_s = chance.expovariate(rate) if rate else seconds
        while at_s < seconds and left:
            node = left.pop()
            other = f" {node}-new" if kind == "replace" else ""
            troubles.append(Trouble(at_s, node, f"{kind} {node}{other} {churn.node_back_s:g}"))
            at_s += chance.expovariate(rate)
    return sorted(troubles, key=lambda each: (each.at_s, each.node))
