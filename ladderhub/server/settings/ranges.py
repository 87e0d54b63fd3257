"""Range checks of the policy's numbers and durations; each error names the field as written in the file.

The decision modules reject such values too, but name queues by index and omit the value found.
"""

from __future__ import annotations

from ladderhub.owner.types import OwnerSettings
from ladderhub.server.settings.checks import Checker
from ladderhub.server.settings.schema import Policy, Queue

MIN_LIMIT_NS = 2 * OwnerSettings(()).answer_margin_ns


def check_ranges(policy: Policy, checker: Checker) -> None:
    """Raise `SettingsError` for the first value that is out of range."""
    for name, queue in policy.queues.items():
        _check_queue(f"queues.{name}", queue, checker)
    for name, kind in policy.kinds.items():
        checker.require(kind.cores > 0, f"kinds.{name}.cores", kind.cores, "above 0")
        memory = checker.parse_size_gib(f"kinds.{name}.memory", kind.memory)
        checker.require(memory > 0, f"kinds.{name}.memory", kind.memory, "a size above 0")
    nodes, cold, again = policy.nodes, policy.nodes.cold, policy.again
    checker.require(nodes.most_attempts >= 1, "nodes.most_attempts", nodes.most_attempts, "at least 1")
    checker.require(nodes.admit_cores > 0, "nodes.admit_cores", nodes.admit_cores, "above 0")
    checker.require(nodes.admit_memory > 0, "nodes.admit_memory", nodes.admit_memory, "above 0")
    checker.require(0 < cold.pace <= 1, "nodes.cold.pace", cold.pace, "above 0 and at most 1")
    checker.require(cold.multiple > 0, "nodes.cold.multiple", cold.multiple, "above 0")
    checker.require(again.share >= 0, "again.share", again.share, "0 or more")
    checker.require(again.burst >= 1, "again.burst", again.burst, "at least 1")


def _check_queue(path: str, queue: Queue, checker: Checker) -> None:
    deadline_ns = checker.parse_duration_ns(f"{path}.deadline", queue.deadline)
    checker.require(deadline_ns > 0, f"{path}.deadline", queue.deadline, "a time above 0")
    limit_ns = checker.parse_duration_ns(f"{path}.limit", queue.limit)
    expected_limit = f"a time above {MIN_LIMIT_NS // 1_000_000}ms"
    checker.require(limit_ns > MIN_LIMIT_NS, f"{path}.limit", queue.limit, expected_limit)
    first_ns = checker.parse_duration_ns(f"{path}.stay_first", queue.stay_first)
    most_ns = checker.parse_duration_ns(f"{path}.stay_most", queue.stay_most)
    expected = f"above 0 and at most stay_most, {queue.stay_most}"
    checker.require(0 < first_ns <= most_ns, f"{path}.stay_first", queue.stay_first, expected)
    checker.require(queue.calm_level > 0, f"{path}.calm_level", queue.calm_level, "above 0")
    checker.require(queue.asks >= 1, f"{path}.asks", queue.asks, "at least 1")
    checker.require(queue.reruns >= 0, f"{path}.reruns", queue.reruns, "0 or more")
    checker.require(queue.default_cpus >= 0, f"{path}.default_cpus", queue.default_cpus, "0 or more")
    if queue.spread is not None:
        checker.require(queue.spread.most >= 1, f"{path}.spread.most", queue.spread.most, "at least 1")
