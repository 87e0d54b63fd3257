"""Runs a day of configuration changes: operators request policies while jobs run; the logs record both."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.lab.client import BatchClient, Submission, build_job_attributes
from ladderhub.lab.emulator.net import S
from ladderhub.lab.mesh.days import Day, Step
from ladderhub.lab.mesh.hollow import NAME_PREFIX, HollowPeers
from ladderhub.lab.mesh.fleet import Mesh, run_on_new_fleet
from ladderhub.lab.mesh.revision_judge import IN_FORCE_LIMIT_S, RevisionVerdict, judge_revisions
from ladderhub.loop import Loop
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request

RECORD_FILE = "revisions"  # in a scheduler's spool
SERVICES = 40
LIFE_S = (0.5, 2.0)
AIM_MS = 700  # of the first change; each change has a different aim
JOIN_TIMEOUT_NS = 90 * S  # for all schedulers to know the hollow ones
IN_FORCE_TIMEOUT_NS = 30 * S  # for the first revision to be in force on all before the day
_RECORDED_STAGES = ("proposed", "accepted", "chosen", "answered", "held", "resumed")
_RECORDED_FIELDS = (
    "number", "digest", "parent", "body", "author", "made_ms", "ballot", "outcome", "may_follow",
)  # fmt: skip


class ChangesMesh(Mesh):
    """A mesh under load whose configuration changes."""

    def __init__(
        self, loop: Loop, folder: Path, count: int, seed: int, hollow: int = 0, nodes: int = 4
    ) -> None:  # fmt: skip
        super().__init__(loop, folder, count, seed, nodes)
        self._seed, self._hollow = seed, HollowPeers(self.fleet, folder, hollow)
        self._hollow_members: dict[int, set[str]] = {slot: set() for slot in range(count)}
        self._random = random.Random(f"changes/{seed}")
        self._policy: dict[str, Any] = {}
        self._changes = self._submitted = 0
        self._rate = 0.0
        self.note("voters", count=self.voters)

    # --- the recording ----------------------------------------------------------------------------------

    def record_event(self, at_s: float, slot: int, row: dict[str, Any]) -> None:
        event = row["event"]
        if event == "revision" and row["what"] in _RECORDED_STAGES:
            kept = {key: row[key] for key in _RECORDED_FIELDS if key in row}
            self.rows.append({"at": at_s, "what": "revision", "stage": row["what"], "slot": slot, **kept})
        elif event == "policy":
            values = {"number": row["revision"], "digest": row["digest"]}
            self.rows.append({"at": at_s, "what": "in force", "slot": slot, **values})
        elif event in ("offer", "answer"):
            values = {"kind": event, "number": row["revision"]}
            self.rows.append({"at": at_s, "what": "decided", "slot": slot, **values})
        elif event == "member" and row["member"].startswith(NAME_PREFIX):
            if row["change"] == "alive":
                self._hollow_members[slot].add(row["member"])
        else:
            super().record_event(at_s, slot, row)

    def is_in_force_everywhere(self) -> bool:
        """Whether every process has a revision in force."""
        self.read_logs()
        acting = {row["slot"] for row in self.rows if row["what"] == "in force"}
        return len(acting) == self.count

    # --- running ----------------------------------------------------------------------------------------

    def has_all_slots_leased(self) -> bool:
        """Skips the check with hollow schedulers: they hold leases too, which no log shows."""
        return bool(self._hollow.count) or super().has_all_slots_leased()

    def start(self) -> None:
        super().start()
        self._start_hollow()
        if not self.wait_for(self.is_in_force_everywhere, IN_FORCE_TIMEOUT_NS):
            raise RuntimeError(f"the first revision is not in force on all; see {self.folder}")
        self._fetch_policy()

    def _start_hollow(self) -> None:
        if not self._hollow.count:
            return
        peers = self._build_peer_settings(0, "")
        self._hollow.start(
            peers["cluster"], peers["seeds"], peers["electors"], self.count, self._seed
        )  # fmt: skip
        if not self.wait_for(self._has_everyone_seen_hollow, JOIN_TIMEOUT_NS):
            raise RuntimeError(f"the hollow schedulers did not join; see {self.folder}")

    def _has_everyone_seen_hollow(self) -> bool:
        self.read_logs()
        return all(len(seen) >= self._hollow.count for seen in self._hollow_members.values())

    def _fetch_policy(self) -> None:
        """Fetches the policy in force, which the operators' changes are based on."""
        replies: list[Reply | None] = []
        self._send_request(0, n.CMD_LIST, "current", [], replies.append)
        if (
            not self.wait_for(lambda: bool(replies), IN_FORCE_TIMEOUT_NS)
            or replies[0] is None
            or not replies[0].rows
        ):
            raise RuntimeError("the scheduler did not return the configuration in force")
        self._policy = msgspec.json.decode(replies[0].rows[0].get("body"))

    def run_change_day(self, day: Day, in_force_limit_s: float | None) -> RevisionVerdict:
        """Runs a day under load and judges membership and revisions."""
        self._rate = day.load
        self._submit_job()
        membership = self.run_day_script(day)
        verdict = judge_revisions(self.rows, membership, in_force_limit_s)
        if self._hollow.count:
            verdict.hollow, verdict.hollow_min_revision = self._hollow.count, self._hollow.stop()
        return verdict

    def close(self) -> None:
        self._hollow.stop()
        super().close()

    def execute_step(self, step: Step) -> None:
        if step.what == "change":
            self._request_change(step.slot, bool(step.value))
        elif step.what == "forget":
            (self.folder / self.get_name(step.slot) / RECORD_FILE).unlink()
        else:
            super().execute_step(step)

    def _request_change(self, slot: int, from_current: bool) -> None:
        """Requests a policy that differs from all policies requested before."""
        self._changes += 1
        policy = msgspec.json.decode(msgspec.json.encode(self._policy))
        policy["queues"]["web"]["aim"] = f"{AIM_MS + self._changes}ms"
        body = msgspec.json.encode(policy, order="sorted").decode()
        attrs = [Attr("body", body), Attr("author", f"operator-{self._changes}")]
        if not from_current:
            self._send_request(slot, n.CMD_CREATE, "", attrs, lambda reply: None)
            return

        def on_current(reply: Reply | None) -> None:
            if reply is not None and reply.rows:
                parent = Attr("parent", reply.rows[0].get("number"))
                self._send_request(slot, n.CMD_CREATE, "", [*attrs, parent], lambda reply: None)

        self._send_request(slot, n.CMD_LIST, "current", [], on_current)

    def _send_request(self, slot: int, command: int, name: str, attrs: list[Attr], on_reply: Any) -> None:
        client = BatchClient(self.loop, self.fleet.schedulers[self.get_name(slot)].public, "operator")
        request = Request(n.MANAGER, name=name, attrs=attrs, command=command, object_type=n.OBJ_POLICY)

        def on_answer(reply: Reply | None) -> None:
            self.loop.call_soon(client.close)
            on_reply(reply)

        client.send(request, on_answer)

    # --- jobs -------------------------------------------------------------------------------------------

    def _submit_job(self) -> None:
        """Submits one job to a random scheduler, and schedules the next submission."""
        if self._rate:
            self.loop.call_later(round(S / self._rate * self._random.expovariate(1.0)), self._submit_job)
        number = self._random.randrange(SERVICES)
        queues = list(self.fleet.settings["queues"])
        queue = queues[number % len(queues)]
        self._submitted += 1
        life_s = self._random.uniform(*LIFE_S)
        attrs = build_job_attributes(f"job{self._submitted}", f"{queue}-{number}", 0.5, 0.5, life_s, "north")
        address = self._random.choice(list(self.fleet.schedulers.values())).public
        Submission(self.loop, address, queue, attrs, b"#!/bin/sh\ntrue\n", lambda job, text: None)


def run_changes(
    day: Day,
    folder: Path,
    count: int,
    seed: int,
    in_force_limit_s: float | None = IN_FORCE_LIMIT_S,
    hollow: int = 0,
) -> RevisionVerdict:
    """Runs one day of changes on a new fleet with `hollow` hollow schedulers.

    Raises RuntimeError if the fleet does not start."""

    def create_mesh(loop: Loop, address: Path) -> ChangesMesh:
        return ChangesMesh(loop, address, count, seed, hollow)

    def run(mesh: ChangesMesh) -> RevisionVerdict:
        return mesh.run_change_day(day, in_force_limit_s)

    return run_on_new_fleet(folder, create_mesh, run)
