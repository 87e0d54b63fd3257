"""Submitted jobs: reads their attributes into a record, checks them against the settings, accepts the job."""

from __future__ import annotations

from ladderhub.interface import Effect
from ladderhub.owner import types as own
from ladderhub.pbs.attributes import find_unsupported
from ladderhub.pbs.batch import Attr, Reply, refusal
from ladderhub.pbs.resources import GIB, parse_resources
from ladderhub.server.jobs import JobNumbers, JobRecord
from ladderhub.server.context import DaemonContext

S = 1_000_000_000


class Intake:
    """Reads, checks and accepts jobs; `numbers` allocates their identifiers."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self.numbers = JobNumbers(context.folder)

    def read_attributes(self, record: JobRecord, attrs: list[Attr]) -> None:
        """Read a job's attributes into its record; raise `ResourceError` if they are invalid."""
        record.values = {attr.key(): attr for attr in attrs}

        def get(key: str, default: str = "") -> str:
            return record.values[key].value if key in record.values else default

        record.name, record.owner = get("Job_Name") or "STDIN", get("Job_Owner")
        record.account = get("Account_Name")
        record.service = get("Resource_List.service") or get("service") or record.name
        record.rerunnable = get("Rerunable", "y").lower() in ("y", "true")
        resources = {attr.resource: attr.value for attr in attrs if attr.name == "Resource_List"}
        queue = self._context.settings.queues_by_index[record.queue]
        wanted_resources = parse_resources(resources)
        record.walltime_s, record.mpiprocs, record.ompthreads = (
            wanted_resources.walltime_s, wanted_resources.mpiprocs, wanted_resources.ompthreads,
        )  # fmt: skip
        record.cores = queue.default_cpus if wanted_resources.cores is None else wanted_resources.cores
        memory = self._context.settings.default_memory[record.queue]
        record.memory = wanted_resources.memory / GIB if wanted_resources.memory else memory

    def find_unsupported(self, attrs: list[Attr]) -> Reply | None:
        """Return the refusal of the first attribute that is not supported, None if all are."""
        now_s = self._context.loop.now_ns() // S
        for attr in attrs:
            refused = find_unsupported(attr, now_s)
            if refused is not None:
                return refusal(*refused)
        return None

    def explain_unplaceable(self, record: JobRecord, is_accepted: bool = False) -> str:
        """Return why the job can never be placed, "" if it can.  An accepted job keeps a removed account."""
        module, kind_names = self._context.settings.module, self._context.settings.kinds
        klass = module.classes[record.queue]
        kinds = [
            kind for index, kind in enumerate(module.kinds)
            if klass.kind in (-1, index) and kind_names.is_open(kind_names.all[index])
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
        return (
            ""
            if is_accepted
            else f"account {account} {self.describe_removal()}; known are " + ", ".join(tenants.current)
        )

    def describe_removal(self) -> str:
        """Return the explanation for a queue or an account that the policy no longer has."""
        return f"takes no new jobs, the policy (revision {self._context.revision.number}) has it no more"

    def accept(
        self, record: JobRecord, held: bool, stop_until_confirmed: bool = False, effect: Effect | None = None
    ) -> None:
        """Accept a committed job.  `effect`: the job's own, if it differs from its queue's."""
        context = self._context
        context.metrics.taken += 1
        record.revision = context.revision.number
        context.log.info(
            "taken", job=record.id, queue=context.settings.queues.all[record.queue], owner=record.owner,
            revision=record.revision,
        )  # fmt: skip
        event = own.Submitted(
            record.number, record.queue, record.rerunnable, held, stop_until_confirmed, effect
        )
        context.tell_owner(event)
