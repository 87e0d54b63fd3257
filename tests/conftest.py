"""What all tests share: the profile of generated examples.

No verdict rests on how long something took, since tests run side by side and on machines that are busy: so
neither an example nor the making of examples has a time limit.  What is checked and how often stays."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile("untimed", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("untimed")
