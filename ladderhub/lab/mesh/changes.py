"""Plays a day of changes: operators ask for other policies while jobs run, and logs tell of both."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.lab.client import BatchClient, Submission, attributes
from ladderhub.lab.emulator.net import S
from ladderhub.lab.mesh.days import Day, Step
from ladderhub.lab.mesh.hollow import PREFIX, HollowPeers
from ladderhub.lab.mesh.fleet import Mesh, play_on_own_fleet
from ladderhub.lab.mesh.revision_judge import WITHIN_S, RevisionVerdict, judge_revisions
from ladderhub.loop import Loop
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request

RECORD = "revisions"  # in the spool of a scheduler
SERVICES = 40
LIFE_S = (0.5, 2.0)
AIM_MS = 700  # of the first change; each has another
JOIN_NS = 90 * S  # in which the hollow schedulers have to be known to all
IN_FORCE_NS = 30 * S  # in which the first revision has to be in force on all before the day
_STAGES = ("proposed", "accepted", "chosen", "answered", "held", "resumed")
_KEPT = (
    "number", "digest", "parent", "body", "author", "made_ms", "ballot", "outcome", "may_follow",
)  # fmt: skip


class ChangesMesh(Mesh):
    """Schedulers under load whose configuration changes."""

    def __init__(
        self, loop: Loop, folder: Path, count: int, seed: int, hollow: int = 0, nodes: int = 4
    ) -> None:  # fmt: skip
        super().__init__(loop, folder, count, seed, nodes)
        self._seed, self._hollow = seed, HollowPeers(self.fleet, folder, hollow)
        self._hollow_seen: dict[int, set[str]] = {slot: set() for slot in range(count)}
        self._random = random.Random(f"changes/{seed}")
        self._policy: dict[str, Any] = {}
        self._changes = self._submitted = 0
        self._rate = 0.0
        self.note("voters", count=self.voters)

    # --- the recording ----------------------------------------------------------------------------------

    def take_event(self, at: float, slot: int, row: dict[str, Any]) -> None:
        event = row["event"]
        if event == "revision" and row["what"] in _STAGES:
            kept = {key: row[key] for key in _KEPT if key in row}
            self.rows.append({"at": at, "what": "revision", "stage": row["what"], "slot": slot, **kept})
        elif event == "policy":
            values = {"number": row["revision"], "digest": row["digest"]}
            self.rows.append({"at": at, "what": "in force", "slot": slot, **values})
        elif event in ("offer", "answer"):
            values = {"kind": event, "number": row["revision"]}
            self.rows.append({"at": at, "what": "decided", "slot": slot, **values})
        elif event == "member" and row["member"].startswith(PREFIX):
            if row["change"] == "alive":
                self._hollow_seen[slot].add(row["member"])
        else:
            super().take_event(at, slot, row)

    def in_force(self) -> bool:
        """Does every process act by a revision?"""
        self.read_logs()
        acting = {row["slot"] for row in self.rows if row["what"] == "in force"}
        return len(acting) == self.count

    # --- playing ----------------------------------------------------------------------------------------

    def all_leased(self) -> bool:
        """Hollow peers hold leases too, of which no log tells."""
        return bool(self._hollow.count) or super().all_leased()

    def start(self) -> None:
        super().start()
        self._start_hollow()
        if not self.wait(self.in_force, IN_FORCE_NS):
            raise RuntimeError(f"the first revision is not in force on all; see {self.folder}")
        self._fetch_policy()

    def _start_hollow(self) -> None:
        if not self._hollow.count:
            return
        peers = self._peers(0, "")
        self._hollow.start(
            peers["cluster"], peers["seeds"], peers["electors"], self.count, self._seed
        )  # fmt: skip
        if not self.wait(self._all_see_hollow, JOIN_NS):
            raise RuntimeError(f"the hollow schedulers did not join; see {self.folder}")

    def _all_see_hollow(self) -> bool:
        self.read_logs()
        return all(len(seen) >= self._hollow.count for seen in self._hollow_seen.values())

    def _fetch_policy(self) -> None:
        """What is in force is what operators change."""
        got: list[Reply | None] = []
        self._ask(0, n.CMD_LIST, "current", [], got.append)
        if not self.wait(lambda: bool(got), IN_FORCE_NS) or got[0] is None or not got[0].rows:
            raise RuntimeError("the configuration in force was not told")
        self._policy = msgspec.json.decode(got[0].rows[0].get("body"))

    def play_changes(self, day: Day, within_s: float | None) -> RevisionVerdict:
        self._rate = day.load
        self._submit()
        membership = self.play(day)
        verdict = judge_revisions(self.rows, membership, within_s)
        if self._hollow.count:
            verdict.hollow, verdict.hollow_least = self._hollow.count, self._hollow.end()
        return verdict

    def close(self) -> None:
        self._hollow.end()
        super().close()

    def execute_step(self, step: Step) -> None:
        if step.what == "change":
            self._change(step.who, bool(step.value))
        elif step.what == "forget":
            (self.folder / self.name_of(step.who) / RECORD).unlink()
        else:
            super().execute_step(step)

    def _change(self, slot: int, from_current: bool) -> None:
        """An operator asks for a policy that nobody asked for before."""
        self._changes += 1
        policy = msgspec.json.decode(msgspec.json.encode(self._policy))
        policy["queues"]["web"]["aim"] = f"{AIM_MS + self._changes}ms"
        body = msgspec.json.encode(policy, order="sorted").decode()
        attrs = [Attr("body", body), Attr("author", f"operator-{self._changes}")]
        if not from_current:
            self._ask(slot, n.CMD_CREATE, "", attrs, lambda reply: None)
            return

        def on_current(reply: Reply | None) -> None:
            if reply is not None and reply.rows:
                parent = Attr("parent", reply.rows[0].get("number"))
                self._ask(slot, n.CMD_CREATE, "", [*attrs, parent], lambda reply: None)

        self._ask(slot, n.CMD_LIST, "current", [], on_current)

    def _ask(self, slot: int, command: int, name: str, attrs: list[Attr], told: Any) -> None:
        client = BatchClient(self.loop, self.fleet.schedulers[self.name_of(slot)].public, "operator")
        request = Request(n.MANAGER, name=name, attrs=attrs, command=command, object_type=n.OBJ_POLICY)

        def answered(reply: Reply | None) -> None:
            self.loop.call_soon(client.close)
            told(reply)

        client.send(request, answered)

    # --- jobs -------------------------------------------------------------------------------------------

    def _submit(self) -> None:
        """One job of the usual mix to any scheduler, and the next after a while."""
        if self._rate:
            self.loop.call_later(round(S / self._rate * self._random.expovariate(1.0)), self._submit)
        number = self._random.randrange(SERVICES)
        queues = list(self.fleet.settings["queues"])
        queue = queues[number % len(queues)]
        self._submitted += 1
        life = self._random.uniform(*LIFE_S)
        attrs = attributes(f"job{self._submitted}", f"{queue}-{number}", 0.5, 0.5, life, "north")
        place = self._random.choice(list(self.fleet.schedulers.values())).public
        Submission(self.loop, place, queue, attrs, b"#!/bin/sh\ntrue\n", lambda job, text: None)


def run_changes(
    day: Day, folder: Path, count: int, seed: int, within_s: float | None = WITHIN_S, hollow: int = 0
) -> RevisionVerdict:
    """One day of changes on a fleet of its own, beside so many hollow schedulers; RuntimeError where the
    fleet does not come up."""

    def make(loop: Loop, place: Path) -> ChangesMesh:
        return ChangesMesh(loop, place, count, seed, hollow)

    def play(mesh: ChangesMesh) -> RevisionVerdict:
        return mesh.play_changes(day, within_s)

    return play_on_own_fleet(folder, make, play)
