"""Handlers of operators' requests: Manager and Shutdown."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, refusal
from ladderhub.pbs.connection import ServerConnection
from ladderhub.server.clientlistener import ReplyCallback, RequestHandler
from ladderhub.server.context import DaemonContext
from ladderhub.server.nodetracker import NodeTracker

_UNAVAILABLE = {
    n.OBJ_POLICY: "the settings of this scheduler name no peers with electors: its file is its policy",
}  # fmt: skip


class OperatorRequests:
    """Handles operators' requests; `shut_down` begins the daemon's clean stop."""

    def __init__(
        self, context: DaemonContext, node_tracker: NodeTracker, shut_down: Callable[[], None]
    ) -> None:
        self._context, self._node_tracker, self._shut_down = context, node_tracker, shut_down
        self._handlers: dict[int, RequestHandler] = {n.OBJ_NODE: self.manage_node}

    def register(self, object_type: int, handler: RequestHandler) -> None:
        """Register the handler of Manager requests on one type of object."""
        self._handlers[object_type] = handler

    def get_handlers(self) -> dict[int, RequestHandler]:
        """Return the handlers by request type."""
        return {n.MANAGER: self.handle_manager, n.SHUTDOWN: self.handle_shutdown}

    def handle_manager(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Pass a Manager request to the handler of its object type."""
        handler = self._handlers.get(request.object_type, self.manage_node)
        handler(connection, request, answer)

    def manage_node(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Set a node offline or free."""
        if request.object_type in _UNAVAILABLE:
            answer(refusal(n.INVALID_REQUEST, _UNAVAILABLE[request.object_type]))
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

    def handle_shutdown(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Acknowledge the request, then stop the daemon."""
        answer(Reply())
        self._context.loop.call_soon(self._shut_down)
