"""The tasks that run on one machine, and the releases that the machine still has to confirm."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.platform.conn import Offer, OfferListener, TaskEnd
from ladderhub.platform.pending_releases import PendingReleases
from ladderhub.signalling import Step


class RunningTasks:
    """What runs on one machine, as far as is known, and what is owed to it.

    Each task leaves in one of three ways: its end is known, its machine's process is known to be dead, or
    neither is known, and then its release stays pending: it may run all the same."""

    def __init__(self, listener: OfferListener) -> None:
        self._listener = listener
        self.offers: dict[str, Offer] = {}
        self.releases = PendingReleases()

    def has_duties(self) -> bool:
        """Whether tasks run there, or releases of tasks wait to be confirmed."""
        return bool(self.offers) or len(self.releases) > 0

    def has_wanted(self) -> bool:
        """Whether a task runs there that was not released."""
        return any(not self.releases.is_pending(id) for id in self.offers)

    def add(self, offer: Offer) -> None:
        """Add a task that runs there from now on."""
        self.offers[offer.id] = offer

    def end(self, id: str, end: TaskEnd) -> None:
        """A task has ended; no effect if it does not run there."""
        self.releases.confirm(id)
        offer = self.offers.pop(id, None)
        if offer is not None:
            offer.leg.step(Step.RELEASE)
            self._listener.on_release(offer, end.cause, end.note)

    def fail_all(self, why: str) -> None:
        """The machine's process is dead, and all its tasks with it: report them as broken."""
        lost, self.offers = list(self.offers.values()), {}
        self.releases.clear()
        for offer in lost:
            self._report_broken(offer, why)

    def give_up(self, why: str, is_lost: Callable[[Offer], bool] = lambda offer: True) -> int:
        """Report these tasks as broken although they may run, and return how many they are.

        Their releases are pending from now on, as their owners may have them started again."""
        lost = [offer for offer in self.offers.values() if is_lost(offer)]
        for offer in lost:
            del self.offers[offer.id]
            self.releases.add_lost(offer)
        for offer in lost:
            self._report_broken(offer, why)
        return len(lost)

    def _report_broken(self, offer: Offer, why: str) -> None:
        offer.leg.step(Step.RELEASE)
        self._listener.on_broken(offer, why)
