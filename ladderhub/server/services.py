"""Services and their updates: executes the rollout decisions and serves requests about services.

A copy is a job like any other: it is submitted to the owner and placed by the decision module.  Its
attributes hold its slot and version, so that the scheduler finds it again after a restart.  Declared services
are stored in the spool folder.  Requests are Manager requests on an object type that PBS does not have,
`names.OBJ_SERVICE`.
"""

from __future__ import annotations

import msgspec

from ladderhub.errors import LadderhubError
from ladderhub.interface import Effect
from ladderhub.loop import Timer
from ladderhub.owner import types as own
from ladderhub.owner.decide import CANCELLED_STATUS
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row, refusal
from ladderhub.pbs.connection import ServerConnection
from ladderhub.pbs.resources import ResourceError
from ladderhub.rollout import Rollouts
from ladderhub.rollout import types as t
from ladderhub.rollout.plan import plan_update
from ladderhub.server.clientlistener import ReplyCallback
from ladderhub.server.context import DaemonContext
from ladderhub.server.intake import Intake
from ladderhub.server.jobs import JobRecord
from ladderhub.server.nodetracker import NodeTracker
from ladderhub.server.settings import SettingsError, parse_duration_ns
from ladderhub.server.spool import SpoolError, write_durably
from ladderhub.server.runcontrol import parse_int
from ladderhub.usage.processor import Cause

NODE_REPORT_POLL_NS = 200_000_000
SLOT_ATTRIBUTE, VERSION_ATTRIBUTE = "service_slot", "service_version"
_INTEGER_LIMITS = {"down": "down", "surplus": "surplus", "wave": "wave", "priority": "priority"}
_DURATION_LIMITS = {"spacing": "spacing_ns", "healthy": "healthy_ns", "failures_window": "window_ns"}
_ACTION_EVENTS: dict[str, type[t.Pause] | type[t.Resume] | type[t.Abort]] = {
    "pause": t.Pause, "resume": t.Resume, "abort": t.Abort,
}  # fmt: skip


class StoredVersion(msgspec.Struct):
    """Job attributes, as (name, resource, value), and script of one version's copies, as stored on disk."""

    attrs: list[tuple[str, str, str]]
    script: bytes


class StoredService(msgspec.Struct):
    """A service as stored on disk."""

    name: str
    queue: str
    count: int
    version: int
    previous: int
    stage: str
    why: str
    limits: dict[str, float]
    versions: dict[int, StoredVersion]
    queued: tuple[int, dict[str, float]] | None = None
    effect: str = ""  # of the class that the service was declared with
    repeat_ns: int = 0  # how long repeats of a keyed copy are discarded


class ServiceError(LadderhubError):
    """A refused request about a service: the field, what was found, what is expected."""

    status, code = 2, n.BAD_ATTRIBUTE_VALUE
    remedy = "mend the field in the service's file; `ladderhub rollout plan FILE` checks it alone"


class Services:
    """Executes the rollout decisions; a component of the daemon."""

    def __init__(self, context: DaemonContext, intake: Intake, node_tracker: NodeTracker) -> None:
        self._context, self._intake, self._node_tracker = context, intake, node_tracker
        self.rollouts = Rollouts(context.settings.rollouts)
        self._tell = context.dispatcher.register(self.rollouts, self)
        self._stored_services: dict[str, StoredService] = {}
        self._job_of: dict[int, JobRecord] = {}  # copy -> its job
        self._copy_of: dict[int, int] = {}  # job number -> copy
        self._unconfirmed: dict[int, int] = {}  # number of a job that is over -> copy that may be alive
        self._last_found_copy = 0  # copies from an earlier life of the scheduler get numbers below 0
        self._timer: Timer | None = None
        self._path = context.folder / "services.json"
        self.all_nodes_reported = True
        context.on_placed.append(self._on_placed)
        context.on_unplaced.append(self._on_unplaced)
        context.on_finished.append(self._on_finished)
        context.on_node_changed.append(
            lambda node, back: self._tell((t.NodeBack if back else t.NodeGone)(node))
        )
        context.on_finished_job_report.append(self._on_finished_job_report)
        context.on_settings_changed.append(lambda: self._tell(t.SettingsChanged(context.settings.rollouts)))
        context.metrics.add_gauge("services", "Services declared", lambda: len(self._stored_services))
        context.metrics.add_gauge(
            "copies_down", "Copies of services without a healthy run", self._count_copies_down
        )

    def get_queues(self) -> set[str]:
        """Queues that have services."""
        return {stored.queue for stored in self._stored_services.values()}

    def _count_copies_down(self) -> int:
        return sum(service.count_unhealthy() for service in self.rollouts.services.values())

    # --- component of the daemon ----------------------------------------------------------------------------

    def start(self) -> None:
        """Restore the services that an earlier life declared; SpoolError if their file can't be read."""
        self._context.processor.run(Cause.JOBS, self._restore)

    def _restore(self) -> None:
        try:
            stored_services: list[StoredService] = msgspec.json.decode(
                self._path.read_bytes(), type=list[StoredService]
            )
        except FileNotFoundError:
            return
        except msgspec.MsgspecError as fault:
            raise SpoolError(str(fault), where=str(self._path), expected="what the scheduler left") from None
        for stored in stored_services:
            if not self._context.settings.queues.is_known(stored.queue):
                where = f"{self._path}: service {stored.name}"
                raise SpoolError(f"the queue {stored.queue} is not known", where=where)
            self._stored_services[stored.name] = stored
            queued = (
                (stored.queued[0], _limits_from_dict(stored.queued[1])) if stored.queued is not None else None
            )
            rules = self._build_rules(stored.name, stored.queue, stored.count)
            if stored.effect:
                rules = t.ServiceRules(stored.name, stored.count, Effect(stored.effect), stored.repeat_ns)
            limits, stage = _limits_from_dict(stored.limits), t.Stage(stored.stage)
            self._tell(t.Restored(rules, stored.version, stored.previous, limits, stage, stored.why, queued))
        if stored_services:
            self.all_nodes_reported = False
            self._poll_node_reports()

    def _poll_node_reports(self) -> None:
        """Tell the decisions once every node has reported what it runs.

        Earlier, they would start copies that run but were not reported yet a second time."""
        if self._node_tracker.find_unreported_nodes() == set():
            self.all_nodes_reported = True
            self._context.log.info("rollout", what="settled", text="every node has said what it runs")
            self._tell(t.AllNodesReported())
        elif not self._context.stopping:
            self._context.loop.call_later(NODE_REPORT_POLL_NS, self._poll_node_reports)

    def stop(self, now: bool) -> None:
        """Leave running copies alone; the next process finds them."""

    def count_unsettled(self) -> int:
        """Always 0: services accept nothing that must be settled before the daemon stops."""
        return 0

    def close(self) -> None:
        return

    # --- actions of the decisions ---------------------------------------------------------------------------

    def execute(self, now: int, action: t.Action) -> None:
        """Execute one action of the rollout decisions."""
        if self._context.stopping:
            return
        match action:
            case t.StartCopy():
                self._start_copy(now, action)
            case t.StopCopy(copy):
                record = self._job_of.get(copy)
                if record is not None:
                    self._context.tell_owner(own.Cancelled(record.number))
            case t.SetTimer(at):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._context.loop.call_at(at, self._tell, t.TimerFired())
            case t.Log(service, what, text):
                self._context.log.info("rollout", service=service, what=what, text=text)
            case t.Persist(service):
                self._persist(service)

    def on_handled(self, event: t.Event) -> None:
        return

    def _start_copy(self, now: int, action: t.StartCopy) -> None:
        stored = self._stored_services[action.service]
        version = stored.versions[action.version]
        try:
            job = f"{self._intake.numbers.allocate()}.{self._context.name}"
        except OSError as fault:
            self._context.log.error("no job number", exc_info=fault)
            self._tell(t.Ended(action.copy, t.End.REFUSED))
            return
        record = self._context.jobs.add(job, self._context.settings.queues.index(stored.queue), now)
        attrs = [Attr(name, value, resource) for name, resource, value in version.attrs]
        attrs += [Attr(SLOT_ATTRIBUTE, str(action.slot)), Attr(VERSION_ATTRIBUTE, str(action.version))]
        self._intake.read_attributes(record, attrs)
        record.script = version.script
        self._job_of[action.copy], self._copy_of[record.number] = record, action.copy
        effect = self.rollouts.services[action.service].rules.effect
        self._intake.accept(record, held=False, stop_until_confirmed=True, effect=effect)

    def _persist(self, name: str) -> None:
        service = self.rollouts.services.get(name)
        if service is None:
            self._stored_services.pop(name, None)
        else:
            stored = self._stored_services[name]
            stored.count, stored.version, stored.previous = (
                service.rules.count,
                service.version,
                service.previous,
            )
            stored.effect, stored.repeat_ns = service.rules.effect.value, service.rules.dedupe_window_ns
            stored.stage, stored.why, stored.limits = (
                service.stage.value,
                service.pause_reason,
                _limits_to_dict(service.limits),
            )
            stored.queued = (
                (service.queued[0], _limits_to_dict(service.queued[1])) if service.queued else None
            )
            used = {copy.version for copy in self.rollouts.get_copies(name)} | {
                stored.version,
                stored.previous,
            }
            used |= {slot.last_healthy_version for slot in service.slots} | (
                {stored.queued[0]} if stored.queued else set()
            )
            stored.versions = {
                number: version for number, version in stored.versions.items() if number in used
            }
        write_durably(self._path, msgspec.json.encode(list(self._stored_services.values())))

    # --- events of copies -----------------------------------------------------------------------------------

    def _on_placed(self, record: JobRecord) -> None:
        entry = self._node_tracker.node_list.entries.get(record.run_machine)
        rack = f"{entry.zone}/{entry.rack}" if entry is not None else ""
        copy = self._copy_of.get(record.number)
        if copy is not None:
            self._tell(t.Placed(copy, record.run_machine, rack))
        elif record.adopted and SLOT_ATTRIBUTE in record.values and record.service in self._stored_services:
            self._last_found_copy -= 1
            self._job_of[self._last_found_copy], self._copy_of[record.number] = record, self._last_found_copy
            slot, version = (
                parse_int(record.values[name].value) for name in (SLOT_ATTRIBUTE, VERSION_ATTRIBUTE)
            )
            self._tell(
                t.RunFound(record.service, self._last_found_copy, slot, version, record.run_machine, rack)
            )

    def _on_unplaced(self, record: JobRecord) -> None:
        copy = self._copy_of.get(record.number)
        if copy is not None:
            self._tell(t.Unplaced(copy))

    def _on_finished(self, record: JobRecord) -> None:
        copy = self._copy_of.pop(record.number, None)
        if copy is None:
            return
        del self._job_of[copy]
        confirmed = not self._context.owner.has_orphan(record.number)
        if not confirmed:
            self._unconfirmed[record.number], record.pinned = copy, True
        end = {"placed": t.End.DONE, "refused": t.End.REFUSED}.get(record.answer, t.End.LOST)
        if end is t.End.DONE and record.exit_status in (-1, CANCELLED_STATUS):
            end = t.End.LOST  # its node is gone or it was cancelled: no sign of a fault in its version
        self._tell(t.Ended(copy, end, confirmed))

    def _on_finished_job_report(self, number: int) -> None:
        copy = self._unconfirmed.get(number)
        if copy is not None and not self._context.owner.has_orphan(number):
            del self._unconfirmed[number]
            self._context.jobs.by_number[number].pinned = False
            self._tell(t.EndConfirmed(copy))

    # --- requests -------------------------------------------------------------------------------------------

    def serve(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Serve a Manager request on a service: create (or plan), set action=..., delete, list."""
        if self._context.stopping:
            answer(refusal(n.SERVER_BUSY, f"{self._context.name} is stopping"))
            return
        try:
            if request.command == n.CMD_CREATE:
                answer(self._declare(request))
            elif request.command == n.CMD_LIST:
                names = [request.name] if request.name else list(self._stored_services)
                answer(Reply(0, n.R_STATUS, rows=[self._build_row(name) for name in names]))
            elif request.command == n.CMD_SET:
                event_type = _ACTION_EVENTS.get(request.get("action"))
                if event_type is None:
                    meant = ", ".join(_ACTION_EVENTS)
                    raise ServiceError(f"action: found {request.get('action')!r}; one of {meant} is meant")
                self._apply(event_type(request.name))
                answer(Reply(0, n.R_STATUS, rows=[self._build_row(request.name)]))
            elif request.command == n.CMD_DELETE:
                self._apply(t.Removed(request.name))
                answer(Reply())
            else:
                raise ServiceError("create, set, delete and list are known for a service")
        except (ServiceError, ResourceError, SettingsError) as fault:
            answer(refusal(fault.code, str(fault)))

    def _apply(self, event: t.Event) -> None:
        error = self.rollouts.check(event)
        if error:
            raise ServiceError(error)
        self._tell(event)

    def _build_rules(self, name: str, queue: str, count: int) -> t.ServiceRules:
        known = self.rollouts.services.get(name)
        if known is not None:  # its copies keep the effect that it was declared with
            return t.ServiceRules(name, count, known.rules.effect, known.rules.dedupe_window_ns)
        klass = self._context.settings.module.classes[self._context.settings.queues.index(queue)]
        dedupe_window_ns = klass.dedupe_window_ns if klass.effect is Effect.KEYED else 0
        return t.ServiceRules(name, count, klass.effect, dedupe_window_ns)

    def _declare(self, request: Request) -> Reply:
        name, context = request.name, self._context
        service_attributes = ("queue", "count", "script", "if_busy", "plan", "update")
        attrs = [attr for attr in request.attrs if attr.name not in service_attributes]
        if not name or not all(char.isalnum() or char in "._-" for char in name):
            meant = "a name of letters, digits, '.', '_' and '-'"
            raise ServiceError(f"found {name!r}", where="service", expected=meant)
        if not self.all_nodes_reported:
            reason = "took up its services anew, and nodes have not all said what they run"
            raise ServiceError(f"{context.name} {reason}")
        queue = request.get("queue") or context.settings.default_queue
        if not context.settings.queues.is_open(queue):
            meant = f"one of {', '.join(context.settings.queues.current)}"
            raise ServiceError(f"found {queue!r}", where="queue", expected=meant)
        stored = self._stored_services.get(name)
        if stored is not None and queue != stored.queue:
            raise ServiceError(
                f"queue: found {queue!r}; {stored.queue} is meant, a service stays in its queue"
            )
        choices = [busy.value for busy in t.IfBusy]
        if request.get("if_busy", "refuse") not in choices:
            meant = f"one of {', '.join(choices)}"
            raise ServiceError(f"found {request.get('if_busy')!r}", where="if_busy", expected=meant)
        script = request.get("script").encode("utf-8", "surrogateescape")
        if not script:
            raise ServiceError("script: found nothing; what each copy runs is meant")
        refused = self._intake.find_unsupported(attrs)
        if refused is not None:
            raise ServiceError(refused.text)
        attrs += [Attr("service", name), Attr("Job_Owner", request.user)]
        if not request.get("Job_Name"):
            attrs.append(Attr("Job_Name", name if name[0].isalpha() else f"S{name}"))
        candidate = JobRecord(0, "", context.settings.queues.index(queue))
        self._intake.read_attributes(candidate, attrs)
        problem = self._intake.explain_unplaceable(candidate)
        if problem:
            raise ServiceError(problem)
        rules = self._build_rules(name, queue, _parse_integer(request.get("count"), "count"))
        version = 1 + max(stored.versions, default=0) if stored is not None else 1
        limits = read_limits(request)
        event = t.Declared(rules, version, limits, t.IfBusy(request.get("if_busy", "refuse")))
        error = self.rollouts.check(event)
        if error:
            raise ServiceError(error)
        if request.get("plan"):
            start_ns = self.rollouts.get_mean_start_ns()
            estimate = plan_update(rules, limits, context.settings.rollouts.max_replacing_slots, start_ns, 0)
            return Reply(0, n.R_STATUS, rows=[Row(n.OBJ_SERVICE, name, [
                Attr("count", str(rules.count)), Attr("effect", rules.effect.value),
                Attr("at_once", str(estimate.at_once)), Attr("waves", str(estimate.waves)),
                Attr("bound", estimate.bound), Attr("expected_ns", str(estimate.expected_ns)),
                Attr("start_ns", str(start_ns)), Attr("replaces", str(stored.version if stored else "")),
            ])])  # fmt: skip
        if stored is None:
            stored = self._stored_services[name] = StoredService(
                name, queue, rules.count, version, -1, "going", "", {}, {}
            )
        stored.versions[version] = StoredVersion(
            [(attr.name, attr.resource, attr.value) for attr in attrs], script
        )
        self._tell(event)
        return Reply(0, n.R_STATUS, rows=[self._build_row(name)])

    def _build_row(self, name: str) -> Row:
        if name not in self.rollouts.services:
            known = ", ".join(self._stored_services) or "none"
            raise ServiceError(f"service: found {name!r}; one that is declared is meant: {known}")
        view = self.rollouts.get_status(self._context.loop.now_ns(), name)
        attrs = [
            Attr("queue", self._stored_services[name].queue), Attr("count", str(view.count)),
            Attr("version", str(view.version)), Attr("previous", str(view.previous)),
            Attr("stage", view.stage.value), Attr("new", str(view.new)), Attr("old", str(view.old)),
            Attr("down", str(view.down)), Attr("alive", str(view.alive)),
            Attr("failures", str(view.failures)), Attr("window", str(view.window)),
        ]  # fmt: skip
        return Row(n.OBJ_SERVICE, name, attrs + [Attr("wait", text) for text in view.wait_reasons])


def _parse_integer(text: str, where: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise ServiceError(f"{where}: found {text!r}; a whole number is meant")
    return int(text)


def read_limits(request: Request) -> t.Limits:
    """Read the limits of an update from its `update.*` attributes; a `ServiceError` names the field."""
    found: dict[str, float] = {}
    for attr in request.attrs:
        if attr.name != "update":
            continue
        key, text, where = attr.resource, attr.value, f"update.{attr.resource.replace('_', '.')}"
        if key in _INTEGER_LIMITS:
            found[_INTEGER_LIMITS[key]] = _parse_integer(text, where)
        elif key == "failures_number":
            found["failures"] = _parse_integer(text, where)
        elif key in _DURATION_LIMITS:
            found[_DURATION_LIMITS[key]] = parse_duration_ns(text, where)
        elif key == "failures_share":
            try:
                found["failed_share"] = float(text)
            except ValueError:
                meant = "a share above 0 and at most 1"
                raise ServiceError(f"found {text!r}", where=where, expected=meant) from None
        else:
            known = "down, surplus, wave, spacing, healthy, failures and priority"
            raise ServiceError(f"{where}: unknown; {known} are known")
    return _limits_from_dict(found)


def _limits_to_dict(limits: t.Limits) -> dict[str, float]:
    return {name: getattr(limits, name) for name in t.Limits.__slots__}


def _limits_from_dict(found: dict[str, float]) -> t.Limits:
    integers = {name: int(value) for name, value in found.items() if name != "failed_share"}
    return t.Limits(**integers, failed_share=float(found.get("failed_share", 1.0)))
