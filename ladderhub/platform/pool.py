"""The connections to all machines, as the link to one of them sees them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ladderhub.loop import Loop
from ladderhub.platform.conn import Conn, ConnOwner, End, OfferListener
from ladderhub.platform.report import Report


class Pool(Protocol):
    """The connections to all machines, as one machine's link sees them."""

    loop: Loop
    report: Report
    listener: OfferListener
    connect_ns: int
    idle_ns: int
    most: Callable[[], int]
    spare: Callable[[], int]
    share: bool
    count: int

    def make_room(self) -> bool: ...

    def came_up(self, conn: Conn) -> None: ...

    def ended(self, conn: Conn) -> None: ...

    def forget(self, link: ConnOwner) -> None: ...

    def on_early(self, machine: str, id: str, end: End) -> None: ...
