"""Real schedulers with peers behind relays, and the playing of a day on them."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any, Protocol, TypeVar

from ladderhub.errors.base import SYSTEM, LadderhubError
from ladderhub.lab.emulator.net import MS, Faults, S
from ladderhub.lab.fleet import Fleet
from ladderhub.lab.mesh.days import Day, Step
from ladderhub.lab.mesh.judge import Replay, Row, Verdict, judge
from ladderhub.lab.mesh.relay import Relay
from ladderhub.lab.ports import free_port
from ladderhub.loop import Loop

COME_NS = 40 * S  # in which all have to come together before the day
AFTER_NS = 12 * S  # watched after the last fault
TRIES = 3  # beginnings of a day whose ports others took
NOISE = (
    b"", b"\x00", b"\xff" * 60, b"x" * 1900, b"\x96\x01\xce\x00\x00\x00\x01\xa1a\x01\x00\x94\x01\x01\x01\x01",
    b"\x96" + b"\xdf\xff\xff\xff\xff" * 20, b"[1,2,3]", b"\x96\x01" + b"\x9f" * 900,
)  # fmt: skip


class PortTaken(LadderhubError):
    """Somebody else took a port between its choice and its use: the day says nothing, and is begun anew."""

    status, code = 1, SYSTEM
    remedy = "begin the day again with fewer days side by side: it says nothing of the schedulers"


MeshT = TypeVar("MeshT", bound="Mesh")
VerdictT = TypeVar("VerdictT", bound="HasTroubles")


class Mesh:
    """`count` schedulers, a few nodes, a directory.  Slots of the day are the schedulers' numbers."""

    def __init__(self, loop: Loop, folder: Path, count: int, seed: int, nodes: int = 3) -> None:
        self.loop, self.folder, self.count = loop, folder, count
        self.rows: list[Row] = []
        self.voters = min(5, count) - (min(5, count) + 1) % 2
        self.relay = Relay(loop, seed)
        self._ports = {at: free_port() for at in range(count)}
        self._names = {at: f"sched{at}" for at in range(count)}
        for at, port in self._ports.items():
            self.relay.add(at, ("127.0.0.1", port))
        self._place = dict.fromkeys(range(count), -1)  # slot -> slot whose address it has, -1: its own
        self.fleet = Fleet(
            loop, folder, nodes=nodes, schedulers=count, seed=seed, peers=self._peers,
            change=lambda settings: settings["log"].update(level="debug"),
        )  # fmt: skip
        cold = self.fleet.settings["nodes"]["cold"]
        self.window_s = 1.25 * float(cold["window"].removesuffix("s"))  # as long as the module counts offers
        self._read: dict[str, int] = {}

    def _peers(self, at: int, name: str) -> dict[str, Any]:
        place = self._place[at] if self._place[at] >= 0 else at
        seeds = ["{}:{}".format(*self.relay.public(seed)) for seed in range(min(3, self.count))]
        return {
            "listen": f"127.0.0.1:{self._ports[place]}", "seeds": seeds, "cluster": "mesh",
            "advertise": "{}:{}".format(*self.relay.public(place)),
            "electors": ["{}:{}".format(*self.relay.public(each)) for each in range(self.voters)],
        }  # fmt: skip

    # --- the recording ----------------------------------------------------------------------------------

    def note(self, what: str, **values: Any) -> None:
        self.rows.append({"at": datetime.now().timestamp(), "what": what, **values})

    def read_logs(self) -> None:
        """Add what the processes logged since the last time."""
        for at, name in self._names.items():
            path = self.folder / name / "log"
            if not path.exists():
                continue
            with open(path, "rb") as file:
                file.seek(self._read.get(name, 0))
                data = file.read()
            whole = data[: data.rfind(b"\n") + 1]
            self._read[name] = self._read.get(name, 0) + len(whole)
            for line in whole.splitlines():
                self._take_line(at, line)

    def _take_line(self, slot: int, line: bytes) -> None:
        try:
            row = json.loads(line)
        except ValueError:
            self.note("trouble", slot=slot, text=line.decode("utf-8", "replace")[:200])
            return
        at = datetime.fromisoformat(row.get("timestamp", "1970-01-01T00:00:00+00:00")).timestamp()
        self.take_event(at, slot, row)

    def take_event(self, at: float, slot: int, row: dict[str, Any]) -> None:
        """Keep what is judged of one row of a log."""
        event = row.get("event")
        if event == "peers":
            self.rows.append({"at": at, "what": "life", "slot": slot, "life": row["life"]})
        elif event == "member":
            told = {key: row[key] for key in ("change", "member", "life", "cause")}
            self.rows.append({"at": at, "what": "told", "slot": slot, **told})
        elif event == "seats":
            values = {"slots": row["slots"], "until_ns": row["until_ns"]}
            self.rows.append({"at": at, "what": "seats", "slot": slot, **values})
        elif row.get("level") == "error" or event in ("trouble", "decision"):
            self.rows.append({"at": at, "what": "trouble", "slot": slot, "text": json.dumps(row)[:400]})

    def together(self) -> bool:
        self.read_logs()
        replay = Replay()
        for row in sorted(self.rows, key=lambda each: float(each["at"])):
            replay.take(row)
        return not replay.otherwise()

    def all_leased(self) -> bool:
        """Every slot is leased: faults are to meet leases that stand."""
        self.read_logs()
        told = {row["slot"]: row["slots"] for row in self.rows if row["what"] == "seats"}
        return sorted(seat for seats in told.values() for seat in seats) == list(range(self.count))

    # --- playing ----------------------------------------------------------------------------------------

    def start(self) -> None:
        """RuntimeError where the fleet does not come together, PortTaken where that was a port's fault."""
        for at in range(self.count):
            self.note("began", slot=at, name=self._names[at])
        try:
            self.fleet.start()
            if not self.wait(self.together, COME_NS):
                raise RuntimeError(f"the schedulers did not come together; see {self.folder}")
            if not self.wait(self.all_leased, COME_NS):
                raise RuntimeError(f"not every seat found a holder; see {self.folder}")
        except RuntimeError as fault:
            self.read_logs()
            if any("Address already in use" in row.get("text", "") for row in self.rows):
                raise PortTaken(str(fault)) from None
            raise

    def wait(self, done: Callable[[], object], most_ns: int) -> bool:
        until = self.loop.now_ns() + most_ns
        while not done():
            if self.loop.now_ns() >= until:
                return False
            self.fleet.run_for(250 * MS)
        return True

    def play(self, day: Day) -> Verdict:
        """Do what the day says, then judge from the recording, which is left in the folder."""
        self.note("day", name=day.name)
        begun = self.loop.now_ns()
        for step in day.steps:
            self.loop.call_at(begun + round(step.at_s * S), self.execute_step, step)
        self.fleet.run_for(round(day.last_s * S) + 50 * MS)
        self.note("settled")
        self.fleet.run_for(AFTER_NS)
        self.read_logs()
        path = self.folder / "recording.jsonl"
        path.write_text("".join(json.dumps(row) + "\n" for row in self.rows))
        return judge(self.rows, day, self.count, self.window_s)

    def execute_step(self, step: Step) -> None:
        who, relay = step.who, self.relay
        if step.what == "start":
            self._start(who)
        elif step.what == "kill":
            self._signal(who, signal.SIGKILL)
            self.note("over", slot=who)
        elif step.what == "leave":
            self._signal(who, signal.SIGTERM)
            self.note("over", slot=who)
        elif step.what == "pause":
            self.note("paused", slot=who)
            self._signal(who, signal.SIGSTOP)
        elif step.what == "go_on":
            self.note("woken", slot=who)
            self._signal(who, signal.SIGCONT)
        elif step.what == "net":
            relay.faults = step.value or Faults(delay_ns=(0, 0))
        elif step.what == "cut":
            self.note("cut", pairs=sorted(step.value))
            relay.set_cut(step.value)
        elif step.what == "hold":
            relay.hold(who)
        elif step.what == "release":
            relay.release(who)
        elif step.what == "noise":
            for data in NOISE:
                relay.noise(who, data)
        elif step.what in ("twin", "usurp"):
            self._extra(who, step.value, twin=step.what == "twin")

    def name_of(self, slot: int) -> str:
        return self._names[slot]

    def _process(self, slot: int) -> Any:
        return self.fleet.schedulers[self._names[slot]].process

    def _signal(self, slot: int, number: int) -> None:
        process = self._process(slot)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def _start(self, slot: int) -> None:
        process = self._process(slot)
        if process is not None and process.poll() is None:  # its end is under way
            self.loop.call_later(10 * MS, self._start, slot)
            return
        self.note("began", slot=slot, name=self._names[slot])
        self.fleet.start_scheduler(self._names[slot])

    def _extra(self, slot: int, other: int, twin: bool) -> None:
        """One more process: with the name of another, or at the address of another."""
        name = f"extra{slot}"
        self._names[slot] = name
        self._place[slot] = -1 if twin else other
        if twin:
            self._ports[slot] = free_port()
            self.relay.add(slot, ("127.0.0.1", self._ports[slot]))
        self.note("began", slot=slot, name=self._names[other] if twin else name)
        self.fleet.add_scheduler(slot, name, self._names[other] if twin else "")

    def close(self) -> None:
        for slot in self._names:
            if self._names[slot] in self.fleet.schedulers:
                self._signal(slot, signal.SIGCONT)
        self.fleet.close()
        self.relay.close()


class HasTroubles(Protocol):
    """A verdict that also tells of troubles in the laboratory."""

    @property
    def troubles(self) -> list[str]: ...


def run_day(day: Day, folder: Path, count: int, seed: int) -> Verdict:
    """One day on a fleet of its own; RuntimeError where the fleet does not come up."""
    return play_on_own_fleet(
        folder, lambda loop, place: Mesh(loop, place, count, seed), lambda mesh: mesh.play(day)
    )  # fmt: skip


def play_on_own_fleet(
    folder: Path, make: Callable[[Loop, Path], MeshT], play: Callable[[MeshT], VerdictT]
) -> VerdictT:
    """Start what `make` gives, play and close it; again where others took its ports."""
    for attempt in range(TRIES - 1):
        try:
            return _play_once(folder / f"try-{attempt}", make, play)
        except PortTaken:
            continue
    return _play_once(folder / "try-last", make, play)


def _play_once(
    folder: Path, make: Callable[[Loop, Path], MeshT], play: Callable[[MeshT], VerdictT]
) -> VerdictT:
    folder.mkdir(parents=True, exist_ok=True)
    troubles: list[str] = []
    loop = Loop(trouble=lambda where, fault: troubles.append(f"{where}: {fault!r}"))
    mesh = make(loop, folder)
    try:
        mesh.start()
        verdict = play(mesh)
    finally:
        mesh.close()
        loop.close()
    verdict.troubles.extend(troubles)
    return verdict
