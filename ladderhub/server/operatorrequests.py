"""Requests of operators: Manager on nodes, Shutdown."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, refusal
from ladderhub.pbs.connection import ServerConnection
from ladderhub.server.clientlistener import ReplyCallback, RequestHandler
from ladderhub.server.context import DaemonContext
from ladderhub.server.nodetracker import NodeTracker

_ABSENT = {
    n.OBJ_POLICY: "the settings of this scheduler name no peers with electors: its file is its policy",
}  # fmt: skip


class OperatorRequests:
    """Serves operators; `shut` begins the daemon's clean stop."""

    def __init__(self, context: DaemonContext, node_tracker: NodeTracker, shut: Callable[[], None]) -> None:
        self._context, self._node_tracker, self._shut = context, node_tracker, shut
        self._objects: dict[int, RequestHandler] = {n.OBJ_NODE: self.node}

    def register(self, object_type: int, serve: RequestHandler) -> None:
        """A room serves Manager requests on its own kind of object."""
        self._objects[object_type] = serve

    def get_handlers(self) -> dict[int, RequestHandler]:
        return {n.MANAGER: self.manager, n.SHUTDOWN: self.shutdown}

    def manager(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        serve = self._objects.get(request.object_type, self.node)
        serve(connection, request, answer)

    def node(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        if request.object_type in _ABSENT:
            answer(refusal(n.INVALID_REQUEST, _ABSENT[request.object_type]))
            return
        if request.command != n.CMD_SET or request.object_type != n.OBJ_NODE:
            answer(refusal(n.INVALID_REQUEST, "only «set node NAME state = offline|free» is known"))
            return
        if request.name not in self._node_tracker.node_list.entries:
            answer(refusal(n.UNKNOWN_NODE, f"Unknown node {request.name}"))
            return
        state = request.get("state")
        if state not in ("offline", "free"):
            answer(refusal(n.BAD_ATTRIBUTE_VALUE, f"state={state}: offline or free is meant"))
            return
        self._node_tracker.set_offline(request.name, state == "offline", answer)

    def shutdown(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        answer(Reply())
        self._context.loop.call_soon(self._shut)
