"""The interface of the connection pool that the link to one machine uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ladderhub.loop import Loop
from ladderhub.platform.conn import Conn, ConnHandler, OfferListener, TaskEnd
from ladderhub.platform.report import Report


class ConnectionPool(Protocol):
    """The connections to all machines, as the link to one machine uses them."""

    loop: Loop
    report: Report
    listener: OfferListener
    connect_timeout_ns: int
    idle_timeout_ns: int
    max_connections: Callable[[], int]
    free_descriptors: Callable[[], int]
    share_connections: bool
    connection_count: int

    def make_room(self) -> bool: ...

    def add_connected(self, conn: Conn) -> None: ...

    def remove_closed(self, conn: Conn) -> None: ...

    def remove_link(self, link: ConnHandler) -> None: ...

    def request_dial(self, machine: str) -> None:
        """Dial this machine ahead of its turn, as soon as there is room, if it still needs it then."""

    def end_dial(self, conn: Conn) -> None:
        """This connection, which may have been dialled ahead of its turn, has served its purpose."""

    def on_early_end(self, machine: str, id: str, end: TaskEnd) -> None: ...
