"""Jobs from people: attributes read into a record, checked against what there is, and taken."""

from __future__ import annotations

from ladderhub.interface import Effect
from ladderhub.owner import types as own
from ladderhub.pbs.attributes import find_unsupported
from ladderhub.pbs.batch import Attr, Reply, refusal
from ladderhub.pbs.resources import GIB, parse_resources
from ladderhub.server.context import DaemonContext
from ladderhub.server.jobs import JobNumbers, JobRecord

S = 1_000_000_000


class Intake:
    """Reads, checks and takes jobs; `numbers` gives their identifiers."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self.numbers = JobNumbers(context.folder)

    def describe(self, record: JobRecord, attrs: list[Attr]) -> None:
        """Read a job's attributes into its record; `ResourceError` where they can't be read."""
        record.values = {attr.key(): attr for attr in attrs}

        def get(key: str, default: str = "") -> str:
            return record.values[key].value if key in record.values else default

        record.name, record.owner = get("Job_Name") or "STDIN", get("Job_Owner")
        record.account = get("Account_Name")
        record.service = get("Resource_List.service") or get("service") or record.name
        record.rerunnable = get("Rerunable", "y").lower() in ("y", "true")
        resources = {attr.resource: attr.value for attr in attrs if attr.name == "Resource_List"}
        queue = self._context.settings.queues_by_index[record.queue]
        found = parse_resources(resources)
        record.walltime_s, record.mpiprocs, record.ompthreads = (
            found.walltime_s, found.mpiprocs, found.ompthreads,
        )  # fmt: skip
        record.cores = queue.default_cpus if found.cores is None else found.cores
        memory = self._context.settings.default_memory[record.queue]
        record.memory = found.memory / GIB if found.memory else memory

    def unserved(self, attrs: list[Attr]) -> Reply | None:
        """The refusal of the first attribute that nothing here would act on."""
        now_s = self._context.loop.now_ns() // S
        for attr in attrs:
            refused = find_unsupported(attr, now_s)
            if refused is not None:
                return refusal(*refused)
        return None

    def check(self, record: JobRecord, taken: bool = False) -> str:
        """Why the job could never be placed; "" where it could.  One that was taken keeps its account."""
        module, names = self._context.settings.module, self._context.settings.kinds
        klass = module.classes[record.queue]
        kinds = [
            kind for at, kind in enumerate(module.kinds)
            if klass.kind in (-1, at) and names.is_open(names.all[at])
        ]  # fmt: skip
        if kinds and not any(
            record.cores <= kind.cores * module.admit_cores
            and record.memory <= kind.memory * module.admit_memory
            for kind in kinds
        ):
            return f"no kind of node here holds {record.cores:g} cores and {record.memory:g} GiB"
        tenants, account = self._context.settings.tenants, record.account
        if not tenants.current or not account or tenants.is_open(account):
            return ""
        if not tenants.is_known(account):
            return f"unknown account {account}; known are " + ", ".join(tenants.current)
        return "" if taken else f"account {account} {self.removed()}; known are " + ", ".join(tenants.current)

    def removed(self) -> str:
        """What is said of a queue or an account that the policy has no more."""
        return f"takes no new jobs, the policy (revision {self._context.revision.number}) has it no more"

    def take(
        self, record: JobRecord, held: bool, lasting: bool = False, effect: Effect | None = None
    ) -> None:
        """The job was committed.  `effect`: where it is not what its queue says."""
        context = self._context
        context.metrics.taken += 1
        record.revision = context.revision.number
        context.log.info(
            "taken", job=record.id, queue=context.settings.queues.all[record.queue], owner=record.owner,
            revision=record.revision,
        )  # fmt: skip
        event = own.Submitted(record.number, record.queue, record.rerunnable, held, lasting, effect)
        context.tell_owner(event)
