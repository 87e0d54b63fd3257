"""How long a job stays away before it is asked for again, within a budget that all jobs share."""

from __future__ import annotations

import random

from ladderhub.owner import types as t

PRIORITY_RESERVE = 0.25  # share of the budget for asking again that only the highest priority may use


class RetryBudget:
    """Each new job pays in, each ask again takes one.

    Danger: all jobs that a bad moment turned away come back at the same time, and again.  Harm: a single job
    that was turned away by bad luck waits up to the first span."""

    def __init__(self, settings: t.OwnerSettings, seed: int) -> None:
        self._random = random.Random(seed)
        self._left = settings.retry_burst
        self.change(settings)

    def change(self, settings: t.OwnerSettings) -> None:
        """Go on by other settings."""
        self._share, self._burst = settings.retry_share, settings.retry_burst
        self._left = min(self._left, self._burst)
        self._top = max((queue.priority for queue in settings.queues), default=0)

    def pay_in(self) -> None:
        """A new job was taken."""
        self._left = min(self._burst, self._left + self._share)

    def stay_ns(self, job: t.Job, at_once: bool) -> int:
        """For how long the job stays away: longer each time, spread by chance; the longest, with the reason,
        where the budget is spent."""
        rules = job.rules
        job.stay_ns = min(rules.max_backoff_ns, 2 * job.stay_ns) if job.stay_ns else rules.min_backoff_ns
        span = 0 if at_once else round(job.stay_ns * self._random.uniform(0.75, 1.25))
        if self._left >= (1.0 if rules.priority >= self._top else 1.0 + PRIORITY_RESERVE * self._burst):
            self._left -= 1
            return span
        job.why = (job.why + "; " if job.why else "") + "many jobs ask again"
        return rules.max_backoff_ns
