"""The hypothesis profile that all tests share.

Tests run in parallel and on busy machines, so no verdict depends on elapsed time: neither an example nor its
generation has a time limit.  What is checked, and how often, is unchanged."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile("untimed", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("untimed")
