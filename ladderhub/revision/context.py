"""What the parts of one scheduler share: its settings, the other members, its actions so far."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection
from hashlib import blake2b

from ladderhub.revision.messages import RevisionMessage
from ladderhub.revision.types import Action, Notice, Notify, RevisionSettings, Send


class Context:
    """State and the ways to speak; no decision.

    Messages to ourselves go to `inbox` and are handled within the same event, after the actions so far."""

    def __init__(self, settings: RevisionSettings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(f"{seed}/{settings.name}/{settings.life}")
        life = f"{settings.name}/{settings.life}".encode()
        self.proposer_id = int.from_bytes(blake2b(life, digest_size=8).digest(), "big") >> 1
        self.addresses: dict[str, str] = {}  # of the other members, by name
        self.actions: list[Action] = []
        self.inbox: deque[RevisionMessage] = deque()
        self._nonce = self.random.getrandbits(32)

    def send(self, address: str, message: RevisionMessage) -> None:
        if address == self.settings.address:
            self.inbox.append(message)
        else:
            self.actions.append(Send(address, message))

    def tell(self, notice: Notice, text: str) -> None:
        self.actions.append(Notify(notice, text))

    def nonce(self) -> int:
        """Not to be guessed by who did not see the request."""
        self._nonce += 1
        return self._nonce << 30 | self.random.getrandbits(30)

    def sample(self, count: int, without: Collection[str] = ()) -> list[str]:
        """Addresses of some other members, drawn anew each time."""
        others = sorted(each for each in self.addresses.values() if each not in without)
        return self.random.sample(others, min(count, len(others)))

    def jitter(self, least_ns: int, most_ns: int) -> int:
        return self.random.randrange(least_ns, most_ns + 1)
