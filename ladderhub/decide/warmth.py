"""Learned probability that a start is warm, for programs cached on a machine and for preferred machines."""

from ladderhub.decide.records import MAX_CACHED_SERVICES, Attempt, Machine, Mean
from ladderhub.interface import Settings

INITIAL_PREFERRED_WARMTH = (0.8, 0.3)  # initial share of warm starts on the preferred machines, by tier


class Warmth:
    """Learned from starts.  For a single scheduler, programs that it didn't start are warm nowhere."""

    def __init__(self, settings: Settings) -> None:
        self.by_tier = [
            Mean(initial * (1 - 1 / settings.schedulers) ** 2) for initial in INITIAL_PREFERRED_WARMTH
        ]
        self.by_depth = [Mean(1.0 - depth / MAX_CACHED_SERVICES) for depth in range(MAX_CACHED_SERVICES)]

    def estimate_warm_share(self, service: str, machine: Machine, tier: int | None) -> float:
        """Return 1 where the service is active; else what was learned for its cache depth and its tier."""
        if service in machine.active_services:
            return 1.0
        preferred = 0.0 if tier is None else self.by_tier[tier].value
        depth = machine.get_cache_depth(service)
        return preferred if depth is None else max(preferred, self.by_depth[depth].value)

    def learn(self, attempt: Attempt, was_warm: bool) -> None:
        if attempt.cache_depth is not None:
            self.by_depth[attempt.cache_depth].add(was_warm)
        elif attempt.tier is not None:
            self.by_tier[attempt.tier].add(was_warm)
