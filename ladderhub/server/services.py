"""Services and their updates: carries out the rollout decisions, and serves requests on services.

A copy is a job like any other: it is asked for through the owner and the decision module, and its attributes
say which slot and version it is, so that a successor finds it where it runs.  What is declared lasts in the
spool folder.  Requests are Manager's, on an object of our own (`names.OBJ_SERVICE`).
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
from ladderhub.rollout.plan import plan
from ladderhub.server.door import Answer
from ladderhub.server.intake import Intake
from ladderhub.server.jobs import JobRecord
from ladderhub.server.lasting import SpoolError, write_lasting
from ladderhub.server.members import Members
from ladderhub.server.settings import SettingsError, span_ns
from ladderhub.server.site import Site
from ladderhub.server.words import int_of
from ladderhub.usage.processor import Cause

SETTLED_LOOK_NS = 200_000_000
SLOT, VERSION = "service_slot", "service_version"
_NUMBERS = {"down": "down", "surplus": "surplus", "wave": "wave", "priority": "priority"}
_SPANS = {"spacing": "spacing_ns", "healthy": "healthy_ns", "failures_window": "window_ns"}
_WISHES: dict[str, type[t.Pause] | type[t.Resume] | type[t.Abort]] = {
    "pause": t.Pause, "resume": t.Resume, "abort": t.Abort,
}  # fmt: skip


class Version(msgspec.Struct):
    """What the copies of one version are: attributes as (name, resource, value), and the script."""

    attrs: list[tuple[str, str, str]]
    script: bytes


class Book(msgspec.Struct):
    """A service as it lasts on disk."""

    name: str
    queue: str
    count: int
    version: int
    previous: int
    stage: str
    why: str
    limits: dict[str, float]
    versions: dict[int, Version]
    queued: tuple[int, dict[str, float]] | None = None
    effect: str = ""  # of the class it was declared with, and for how long repeats are discarded
    repeat_ns: int = 0


class ServiceError(LadderhubError):
    """A request on a service that can't be taken: field, what was found, what was meant."""

    status, code = 2, n.BAD_ATTRIBUTE_VALUE
    remedy = "mend the field in the service's file; `ladderhub rollout plan FILE` checks it alone"


class Services:
    """Carrier of the rollout decisions, and a part of the daemon."""

    def __init__(self, site: Site, intake: Intake, members: Members) -> None:
        self._site, self._intake, self._members = site, intake, members
        self.rollouts = Rollouts(site.settings.rollouts)
        self._tell = site.dispatcher.register(self.rollouts, self)
        self._books: dict[str, Book] = {}
        self._record_of: dict[int, JobRecord] = {}  # copy -> its job
        self._copy_of: dict[int, int] = {}  # job number -> copy
        self._doubtful: dict[int, int] = {}  # number of a job that is over -> copy that may be alive
        self._found = 0  # copies of an earlier life have numbers below 0
        self._wake: Timer | None = None
        self._path = site.folder / "services.json"
        self.settled = True
        site.on_placed.append(self._placed)
        site.on_unplaced.append(self._unplaced)
        site.on_finished.append(self._finished)
        site.on_node.append(lambda node, back: self._tell((t.NodeBack if back else t.NodeGone)(node)))
        site.on_news.append(self._news)
        site.on_settings.append(lambda: self._tell(t.SettingsChanged(site.settings.rollouts)))
        site.metrics.gauge("services", "Services declared", lambda: len(self._books))
        site.metrics.gauge("copies_down", "Copies of services without a healthy run", self._down)

    def queues(self) -> set[str]:
        """Queues that have services."""
        return {book.queue for book in self._books.values()}

    def _down(self) -> int:
        return sum(service.down() for service in self.rollouts.services.values())

    # --- as a part ------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Take up what an earlier life declared; SpoolError where its file can't be read."""
        self._site.processor.run(Cause.JOBS, self._restore)

    def _restore(self) -> None:
        try:
            books: list[Book] = msgspec.json.decode(self._path.read_bytes(), type=list[Book])
        except FileNotFoundError:
            return
        except msgspec.MsgspecError as fault:
            raise SpoolError(str(fault), where=str(self._path), expected="what the scheduler left") from None
        for book in books:
            if not self._site.settings.queues.is_known(book.queue):
                where = f"{self._path}: service {book.name}"
                raise SpoolError(f"the queue {book.queue} is not known", where=where)
            self._books[book.name] = book
            queued = (book.queued[0], _limits_back(book.queued[1])) if book.queued is not None else None
            rules = self._rules(book.name, book.queue, book.count)
            if book.effect:
                rules = t.ServiceRules(book.name, book.count, Effect(book.effect), book.repeat_ns)
            limits, stage = _limits_back(book.limits), t.Stage(book.stage)
            self._tell(t.Restored(rules, book.version, book.previous, limits, stage, book.why, queued))
        if books:
            self.settled = False
            self._look_settled()

    def _look_settled(self) -> None:
        """Danger: copies that run and were not heard of yet would be started a second time."""
        if self._members.unheard() == set():
            self.settled = True
            self._site.log.info("rollout", what="settled", text="every node has said what it runs")
            self._tell(t.Settled())
        elif not self._site.stopping:
            self._site.loop.call_later(SETTLED_LOOK_NS, self._look_settled)

    def stop(self, now: bool) -> None:
        """Copies that run, run on; the successor finds them."""

    def owes(self) -> int:
        return 0

    def close(self) -> None:
        return

    # --- what the decisions say -----------------------------------------------------------------------------

    def execute(self, now: int, action: t.Action) -> None:
        if self._site.stopping:
            return
        match action:
            case t.StartCopy():
                self._start(now, action)
            case t.StopCopy(copy):
                record = self._record_of.get(copy)
                if record is not None:
                    self._site.tell_owner(own.Cancelled(record.number))
            case t.Wake(at):
                if self._wake is not None:
                    self._wake.cancel()
                self._wake = self._site.loop.call_at(at, self._tell, t.Due())
            case t.Note(service, what, text):
                self._site.log.info("rollout", service=service, what=what, text=text)
            case t.Keep(service):
                self._keep(service)

    def on_handled(self, event: t.Event) -> None:
        return

    def _start(self, now: int, action: t.StartCopy) -> None:
        book = self._books[action.service]
        version = book.versions[action.version]
        try:
            job = f"{self._intake.numbers.take()}.{self._site.name}"
        except OSError as fault:
            self._site.log.error("no job number", exc_info=fault)
            self._tell(t.Ended(action.copy, t.End.REFUSED))
            return
        record = self._site.jobs.add(job, self._site.settings.queues.index(book.queue), now)
        attrs = [Attr(name, value, resource) for name, resource, value in version.attrs]
        attrs += [Attr(SLOT, str(action.slot)), Attr(VERSION, str(action.version))]
        self._intake.describe(record, attrs)
        record.script = version.script
        self._record_of[action.copy], self._copy_of[record.number] = record, action.copy
        effect = self.rollouts.services[action.service].rules.effect
        self._intake.take(record, held=False, lasting=True, effect=effect)

    def _keep(self, name: str) -> None:
        service = self.rollouts.services.get(name)
        if service is None:
            self._books.pop(name, None)
        else:
            book = self._books[name]
            book.count, book.version, book.previous = service.rules.count, service.version, service.previous
            book.effect, book.repeat_ns = service.rules.effect.value, service.rules.repeat_ns
            book.stage, book.why, book.limits = service.stage.value, service.why, _limits_out(service.limits)
            book.queued = (service.queued[0], _limits_out(service.queued[1])) if service.queued else None
            used = {copy.version for copy in self.rollouts.copies(name)} | {book.version, book.previous}
            used |= {slot.settled for slot in service.slots} | ({book.queued[0]} if book.queued else set())
            book.versions = {number: what for number, what in book.versions.items() if number in used}
        write_lasting(self._path, msgspec.json.encode(list(self._books.values())))

    # --- what becomes of copies -----------------------------------------------------------------------------

    def _placed(self, record: JobRecord) -> None:
        entry = self._members.list.entries.get(record.run_machine)
        rack = f"{entry.zone}/{entry.rack}" if entry is not None else ""
        copy = self._copy_of.get(record.number)
        if copy is not None:
            self._tell(t.Placed(copy, record.run_machine, rack))
        elif record.adopted and SLOT in record.values and record.service in self._books:
            self._found -= 1
            self._record_of[self._found], self._copy_of[record.number] = record, self._found
            slot, version = (int_of(record.values[name].value) for name in (SLOT, VERSION))
            self._tell(t.Found(record.service, self._found, slot, version, record.run_machine, rack))

    def _unplaced(self, record: JobRecord) -> None:
        copy = self._copy_of.get(record.number)
        if copy is not None:
            self._tell(t.Unplaced(copy))

    def _finished(self, record: JobRecord) -> None:
        copy = self._copy_of.pop(record.number, None)
        if copy is None:
            return
        del self._record_of[copy]
        proven = not self._site.owner.has_orphan(record.number)
        if not proven:
            self._doubtful[record.number], record.pinned = copy, True
        end = {"placed": t.End.DONE, "refused": t.End.REFUSED}.get(record.answer, t.End.LOST)
        if end is t.End.DONE and record.exit_status in (-1, CANCELLED_STATUS):
            end = t.End.LOST  # its node went, or a person cancelled it: that tells nothing of its version
        self._tell(t.Ended(copy, end, proven))

    def _news(self, number: int) -> None:
        copy = self._doubtful.get(number)
        if copy is not None and not self._site.owner.has_orphan(number):
            del self._doubtful[number]
            self._site.jobs.by_number[number].pinned = False
            self._tell(t.Proven(copy))

    # --- requests -------------------------------------------------------------------------------------------

    def serve(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        """Manager on a service: create (or plan), set action=..., delete, list."""
        if self._site.stopping:
            answer(refusal(n.SERVER_BUSY, f"{self._site.name} is stopping"))
            return
        try:
            if request.command == n.CMD_CREATE:
                answer(self._declare(request))
            elif request.command == n.CMD_LIST:
                names = [request.name] if request.name else list(self._books)
                answer(Reply(0, n.R_STATUS, rows=[self._row(name) for name in names]))
            elif request.command == n.CMD_SET:
                wish = _WISHES.get(request.get("action"))
                if wish is None:
                    meant = ", ".join(_WISHES)
                    raise ServiceError(f"action: found {request.get('action')!r}; one of {meant} is meant")
                self._wish(wish(request.name))
                answer(Reply(0, n.R_STATUS, rows=[self._row(request.name)]))
            elif request.command == n.CMD_DELETE:
                self._wish(t.Removed(request.name))
                answer(Reply())
            else:
                raise ServiceError("create, set, delete and list are known for a service")
        except (ServiceError, ResourceError, SettingsError) as fault:
            answer(refusal(fault.code, str(fault)))

    def _wish(self, event: t.Event) -> None:
        wrong = self.rollouts.check(event)
        if wrong:
            raise ServiceError(wrong)
        self._tell(event)

    def _rules(self, name: str, queue: str, count: int) -> t.ServiceRules:
        known = self.rollouts.services.get(name)
        if known is not None:  # its copies run, and are started, by what it was declared with
            return t.ServiceRules(name, count, known.rules.effect, known.rules.repeat_ns)
        klass = self._site.settings.module.classes[self._site.settings.queues.index(queue)]
        repeat = klass.dedupe_window_ns if klass.effect is Effect.KEYED else 0
        return t.ServiceRules(name, count, klass.effect, repeat)

    def _declare(self, request: Request) -> Reply:
        name, site = request.name, self._site
        own_names = ("queue", "count", "script", "if_busy", "plan", "update")
        attrs = [attr for attr in request.attrs if attr.name not in own_names]
        if not name or not all(char.isalnum() or char in "._-" for char in name):
            meant = "a name of letters, digits, '.', '_' and '-'"
            raise ServiceError(f"found {name!r}", where="service", expected=meant)
        if not self.settled:
            why = "took up its services anew, and nodes have not all said what they run"
            raise ServiceError(f"{site.name} {why}")
        queue = request.get("queue") or site.settings.default_queue
        if not site.settings.queues.is_open(queue):
            meant = f"one of {', '.join(site.settings.queues.current)}"
            raise ServiceError(f"found {queue!r}", where="queue", expected=meant)
        book = self._books.get(name)
        if book is not None and queue != book.queue:
            raise ServiceError(f"queue: found {queue!r}; {book.queue} is meant, a service stays in its queue")
        words = [busy.value for busy in t.IfBusy]
        if request.get("if_busy", "refuse") not in words:
            meant = f"one of {', '.join(words)}"
            raise ServiceError(f"found {request.get('if_busy')!r}", where="if_busy", expected=meant)
        script = request.get("script").encode("utf-8", "surrogateescape")
        if not script:
            raise ServiceError("script: found nothing; what each copy runs is meant")
        refused = self._intake.unserved(attrs)
        if refused is not None:
            raise ServiceError(refused.text)
        attrs += [Attr("service", name), Attr("Job_Owner", request.user)]
        if not request.get("Job_Name"):
            attrs.append(Attr("Job_Name", name if name[0].isalpha() else f"S{name}"))
        probe = JobRecord(0, "", site.settings.queues.index(queue))
        self._intake.describe(probe, attrs)
        never = self._intake.check(probe)
        if never:
            raise ServiceError(never)
        rules = self._rules(name, queue, _whole(request.get("count"), "count"))
        version = 1 + max(book.versions, default=0) if book is not None else 1
        limits = read_limits(request)
        event = t.Declared(rules, version, limits, t.IfBusy(request.get("if_busy", "refuse")))
        wrong = self.rollouts.check(event)
        if wrong:
            raise ServiceError(wrong)
        if request.get("plan"):
            mean = self.rollouts.mean_start_ns()
            reckoned = plan(rules, limits, site.settings.rollouts.most_at_once, mean, 0)
            return Reply(0, n.R_STATUS, rows=[Row(n.OBJ_SERVICE, name, [
                Attr("count", str(rules.count)), Attr("effect", rules.effect.value),
                Attr("at_once", str(reckoned.at_once)), Attr("waves", str(reckoned.waves)),
                Attr("bound", reckoned.bound), Attr("expected_ns", str(reckoned.expected_ns)),
                Attr("start_ns", str(mean)), Attr("replaces", str(book.version if book else "")),
            ])])  # fmt: skip
        if book is None:
            book = self._books[name] = Book(name, queue, rules.count, version, -1, "going", "", {}, {})
        book.versions[version] = Version([(attr.name, attr.resource, attr.value) for attr in attrs], script)
        self._tell(event)
        return Reply(0, n.R_STATUS, rows=[self._row(name)])

    def _row(self, name: str) -> Row:
        if name not in self.rollouts.services:
            known = ", ".join(self._books) or "none"
            raise ServiceError(f"service: found {name!r}; one that is declared is meant: {known}")
        view = self.rollouts.view(self._site.loop.now_ns(), name)
        attrs = [
            Attr("queue", self._books[name].queue), Attr("count", str(view.count)),
            Attr("version", str(view.version)), Attr("previous", str(view.previous)),
            Attr("stage", view.stage.value), Attr("new", str(view.new)), Attr("old", str(view.old)),
            Attr("down", str(view.down)), Attr("alive", str(view.alive)),
            Attr("failures", str(view.failures)), Attr("window", str(view.window)),
        ]  # fmt: skip
        return Row(n.OBJ_SERVICE, name, attrs + [Attr("wait", text) for text in view.waits])


def _whole(text: str, where: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise ServiceError(f"{where}: found {text!r}; a whole number is meant")
    return int(text)


def read_limits(request: Request) -> t.Limits:
    """The limits of an update from its `update.*` attributes; `ServiceError` names the field."""
    found: dict[str, float] = {}
    for attr in request.attrs:
        if attr.name != "update":
            continue
        key, text, where = attr.resource, attr.value, f"update.{attr.resource.replace('_', '.')}"
        if key in _NUMBERS:
            found[_NUMBERS[key]] = _whole(text, where)
        elif key == "failures_number":
            found["failures"] = _whole(text, where)
        elif key in _SPANS:
            found[_SPANS[key]] = span_ns(text, where)
        elif key == "failures_share":
            try:
                found["failed_share"] = float(text)
            except ValueError:
                meant = "a share above 0 and at most 1"
                raise ServiceError(f"found {text!r}", where=where, expected=meant) from None
        else:
            known = "down, surplus, wave, spacing, healthy, failures and priority"
            raise ServiceError(f"{where}: unknown; {known} are known")
    return _limits_back(found)


def _limits_out(limits: t.Limits) -> dict[str, float]:
    return {name: getattr(limits, name) for name in t.Limits.__slots__}


def _limits_back(found: dict[str, float]) -> t.Limits:
    whole = {name: int(value) for name, value in found.items() if name != "failed_share"}
    return t.Limits(**whole, failed_share=float(found.get("failed_share", 1.0)))
