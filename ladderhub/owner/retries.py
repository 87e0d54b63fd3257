"""Back-off between the placement requests of a job, within a retry budget that all jobs share."""

from __future__ import annotations

import random

from ladderhub.owner import types as t

PRIORITY_RESERVE = 0.25  # share of the retry budget that only jobs of the highest priority may use


class RetryBudget:
    """Each new job adds `retry_share` to the budget; each retry takes one.

    Without a budget and jitter, all jobs that were rejected in one overload would retry at the same time,
    again and again.  The price is that a single job rejected by bad luck waits up to its first back-off."""

    def __init__(self, settings: t.OwnerSettings, seed: int) -> None:
        self._random = random.Random(seed)
        self._balance = settings.retry_burst
        self.apply_settings(settings)

    def apply_settings(self, settings: t.OwnerSettings) -> None:
        """Use these settings from now on."""
        self._share, self._burst = settings.retry_share, settings.retry_burst
        self._balance = min(self._balance, self._burst)
        self._highest_priority = max((queue.priority for queue in settings.queues), default=0)

    def deposit(self) -> None:
        """Add a new job's share to the budget."""
        self._balance = min(self._burst, self._balance + self._share)

    def take_delay_ns(self, job: t.Job, at_once: bool) -> int:
        """Take one retry from the budget and return the delay before it: exponential back-off with jitter.

        If the budget is exhausted, the delay is the longest back-off and the job's reason says so."""
        rules = job.rules
        job.backoff_ns = (
            min(rules.max_backoff_ns, 2 * job.backoff_ns) if job.backoff_ns else rules.min_backoff_ns
        )
        delay_ns = 0 if at_once else round(job.backoff_ns * self._random.uniform(0.75, 1.25))
        if self._balance >= (
            1.0 if rules.priority >= self._highest_priority else 1.0 + PRIORITY_RESERVE * self._burst
        ):
            self._balance -= 1
            return delay_ns
        job.state_reason = (job.state_reason + "; " if job.state_reason else "") + "many jobs ask again"
        return rules.max_backoff_ns
