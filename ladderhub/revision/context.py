"""State shared by the components of one scheduler: settings, the other members, the pending actions."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection
from hashlib import blake2b

from ladderhub.revision.messages import RevisionMessage
from ladderhub.revision.types import Action, Notice, Notify, RevisionSettings, Send


class Context:
    """Shared state and helpers to send messages; makes no decisions.

    Messages to this scheduler itself go to `inbox` and are handled within the same event."""

    def __init__(self, settings: RevisionSettings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(f"{seed}/{settings.name}/{settings.life}")
        life = f"{settings.name}/{settings.life}".encode()
        self.proposer_id = int.from_bytes(blake2b(life, digest_size=8).digest(), "big") >> 1
        self.addresses: dict[str, str] = {}  # of the other members by name
        self.actions: list[Action] = []
        self.inbox: deque[RevisionMessage] = deque()
        self._nonce_counter = self.random.getrandbits(32)

    def send(self, address: str, message: RevisionMessage) -> None:
        if address == self.settings.address:
            self.inbox.append(message)
        else:
            self.actions.append(Send(address, message))

    def notify(self, notice: Notice, text: str) -> None:
        self.actions.append(Notify(notice, text))

    def next_nonce(self) -> int:
        """Return a unique nonce that can't be guessed without having seen the request."""
        self._nonce_counter += 1
        return self._nonce_counter << 30 | self.random.getrandbits(30)

    def sample(self, count: int, excluded: Collection[str] = ()) -> list[str]:
        """Draw the addresses of up to `count` other members at random."""
        others = sorted(each for each in self.addresses.values() if each not in excluded)
        return self.random.sample(others, min(count, len(others)))

    def draw_delay_ns(self, min_ns: int, max_ns: int) -> int:
        return self.random.randrange(min_ns, max_ns + 1)
