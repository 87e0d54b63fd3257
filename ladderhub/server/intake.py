"""Jobs from people: attributes read into a record, checked against what there is, and taken."""

from __future__ import annotations

from ladderhub.owner import types as own
from ladderhub.pbs.attributes import unserved
from ladderhub.pbs.batch import Attr, Reply, refusal
from ladderhub.pbs.resources import GIB, wanted
from ladderhub.server.jobs import JobNumbers, JobRecord
from ladderhub.server.site import Site

S = 1_000_000_000


class Intake:
    """Reads, checks and takes jobs; `numbers` gives their identifiers."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self.numbers = JobNumbers(site.folder)

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
        queue = self._site.settings.file.queues[self._site.settings.queue_names[record.queue]]
        found = wanted(resources)
        record.walltime_s, record.mpiprocs, record.ompthreads = (
            found.walltime_s, found.mpiprocs, found.ompthreads,
        )  # fmt: skip
        record.cores = queue.default_cpus if found.cores is None else found.cores
        memory = self._site.settings.default_memory[record.queue]
        record.memory = found.memory / GIB if found.memory else memory

    def unserved(self, attrs: list[Attr]) -> Reply | None:
        """The refusal of the first attribute that nothing here would act on."""
        now_s = self._site.loop.now_ns() // S
        for attr in attrs:
            refused = unserved(attr, now_s)
            if refused is not None:
                return refusal(*refused)
        return None

    def check(self, record: JobRecord) -> str:
        """Why the job could never be placed; "" where it could."""
        module = self._site.settings.module
        klass = module.classes[record.queue]
        kinds = [kind for at, kind in enumerate(module.kinds) if klass.kind in (-1, at)]
        if kinds and not any(
            record.cores <= kind.cores * module.admit_cores
            and record.memory <= kind.memory * module.admit_memory
            for kind in kinds
        ):
            return f"no kind of node here holds {record.cores:g} cores and {record.memory:g} GiB"
        tenants = self._site.settings.tenant_names
        if tenants and record.account and record.account not in tenants:
            return f"unknown account {record.account}; known are " + ", ".join(tenants)
        return ""

    def take(self, record: JobRecord, held: bool, lasting: bool = False) -> None:
        """The job was committed."""
        self._site.metrics.taken += 1
        self._site.log.info(
            "taken", job=record.id, queue=self._site.settings.queue_names[record.queue], owner=record.owner
        )
        self._site.tell_owner(own.Taken(record.number, record.queue, record.rerunnable, held, lasting))
