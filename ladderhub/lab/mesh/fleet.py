"""Runs fault days on real scheduler processes that reach their peers through relays."""

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

CONVERGENCE_TIMEOUT_NS = 40 * S  # for all views to become equal before the day
OBSERVATION_NS = 12 * S  # after the last fault
MAX_START_ATTEMPTS = 3  # of a day, if other processes take its ports
NOISE = (
    b"", b"\x00", b"\xff" * 60, b"x" * 1900, b"\x96\x01\xce\x00\x00\x00\x01\xa1a\x01\x00\x94\x01\x01\x01\x01",
    b"\x96" + b"\xdf\xff\xff\xff\xff" * 20, b"[1,2,3]", b"\x96\x01" + b"\x9f" * 900,
)  # fmt: skip


class PortTaken(LadderhubError):
    """Another process took a port between its choice and its use.  The day is invalid and is run again."""

    status, code = 1, SYSTEM
    remedy = "begin the day again with fewer days side by side: it says nothing of the schedulers"


MeshT = TypeVar("MeshT", bound="Mesh")
VerdictT = TypeVar("VerdictT", bound="HasTroubles")


class Mesh:
    """`count` schedulers, a few nodes and a directory.  A slot of the day is a scheduler's number."""

    def __init__(self, loop: Loop, folder: Path, count: int, seed: int, nodes: int = 3) -> None:
        self.loop, self.folder, self.count = loop, folder, count
        self.rows: list[Row] = []
        self.voters = min(5, count) - (min(5, count) + 1) % 2
        self.relay = Relay(loop, seed)
        self._ports = {slot: free_port() for slot in range(count)}
        self._names = {slot: f"sched{slot}" for slot in range(count)}
        for slot, port in self._ports.items():
            self.relay.add(slot, ("127.0.0.1", port))
        self._address_slots = dict.fromkeys(range(count), -1)  # slot -> slot of its address; -1: its own
        self.fleet = Fleet(
            loop, folder, nodes=nodes, schedulers=count, seed=seed, peers=self._build_peer_settings,
            change=lambda settings: settings["log"].update(level="debug"),
        )  # fmt: skip
        cold = self.fleet.settings["nodes"]["cold"]
        self.window_s = 1.25 * float(cold["window"].removesuffix("s"))  # while the module counts offers
        self._log_offsets: dict[str, int] = {}

    def _build_peer_settings(self, slot: int, name: str) -> dict[str, Any]:
        address_slot = self._address_slots[slot] if self._address_slots[slot] >= 0 else slot
        seeds = ["{}:{}".format(*self.relay.get_public_address(seed)) for seed in range(min(3, self.count))]
        return {
            "listen": f"127.0.0.1:{self._ports[address_slot]}", "seeds": seeds, "cluster": "mesh",
            "advertise": "{}:{}".format(*self.relay.get_public_address(address_slot)),
            "electors": ["{}:{}".format(*self.relay.get_public_address(each)) for each in range(self.voters)],
        }  # fmt: skip

    # --- the recording ----------------------------------------------------------------------------------

    def note(self, what: str, **values: Any) -> None:
        """Adds a row with the current time to the recording."""
        self.rows.append({"at": datetime.now().timestamp(), "what": what, **values})

    def read_logs(self) -> None:
        """Adds what the processes logged since the last call."""
        for slot, name in self._names.items():
            path = self.folder / name / "log"
            if not path.exists():
                continue
            with open(path, "rb") as file:
                file.seek(self._log_offsets.get(name, 0))
                data = file.read()
            complete_lines = data[: data.rfind(b"\n") + 1]
            self._log_offsets[name] = self._log_offsets.get(name, 0) + len(complete_lines)
            for line in complete_lines.splitlines():
                self._record_line(slot, line)

    def _record_line(self, slot: int, line: bytes) -> None:
        try:
            row = json.loads(line)
        except ValueError:
            self.note("trouble", slot=slot, text=line.decode("utf-8", "replace")[:200])
            return
        at_s = datetime.fromisoformat(row.get("timestamp", "1970-01-01T00:00:00+00:00")).timestamp()
        self.record_event(at_s, slot, row)

    def record_event(self, at_s: float, slot: int, row: dict[str, Any]) -> None:
        """Records the log event if the judge uses it."""
        event = row.get("event")
        if event == "peers":
            self.rows.append({"at": at_s, "what": "life", "slot": slot, "life": row["life"]})
        elif event == "member":
            report = {key: row[key] for key in ("change", "member", "life", "cause")}
            self.rows.append({"at": at_s, "what": "told", "slot": slot, **report})
        elif event == "seats":
            values = {"slots": row["slots"], "until_ns": row["until_ns"]}
            self.rows.append({"at": at_s, "what": "seats", "slot": slot, **values})
        elif row.get("level") == "error" or event in ("trouble", "decision"):
            self.rows.append({"at": at_s, "what": "trouble", "slot": slot, "text": json.dumps(row)[:400]})

    def has_converged(self) -> bool:
        """Whether every process has exactly the living processes in its view."""
        self.read_logs()
        replay = Replay()
        for row in sorted(self.rows, key=lambda each: float(each["at"])):
            replay.apply(row)
        return not replay.find_differing_views()

    def has_all_slots_leased(self) -> bool:
        """Whether every slot is leased; the faults must begin while leases are held."""
        self.read_logs()
        slots_by_holder = {row["slot"]: row["slots"] for row in self.rows if row["what"] == "seats"}
        return sorted(seat for seats in slots_by_holder.values() for seat in seats) == list(range(self.count))

    # --- running ----------------------------------------------------------------------------------------

    def start(self) -> None:
        """Starts the fleet; raises RuntimeError if it does not converge, PortTaken if a port was in use."""
        for slot in range(self.count):
            self.note("began", slot=slot, name=self._names[slot])
        try:
            self.fleet.start()
            if not self.wait_for(self.has_converged, CONVERGENCE_TIMEOUT_NS):
                raise RuntimeError(f"the schedulers did not converge to one view; see {self.folder}")
            if not self.wait_for(self.has_all_slots_leased, CONVERGENCE_TIMEOUT_NS):
                raise RuntimeError(f"not every seat has a holder; see {self.folder}")
        except RuntimeError as error:
            self.read_logs()
            if any("Address already in use" in row.get("text", "") for row in self.rows):
                raise PortTaken(str(error)) from None
            raise

    def wait_for(self, done: Callable[[], object], timeout_ns: int) -> bool:
        """Runs the loop until the condition holds; returns False on a timeout."""
        deadline_ns = self.loop.now_ns() + timeout_ns
        while not done():
            if self.loop.now_ns() >= deadline_ns:
                return False
            self.fleet.run_for(250 * MS)
        return True

    def run_day_script(self, day: Day) -> Verdict:
        """Executes the steps of the day, writes the recording to the folder and judges it."""
        self.note("day", name=day.name)
        started_ns = self.loop.now_ns()
        for step in day.steps:
            self.loop.call_at(started_ns + round(step.at_s * S), self.execute_step, step)
        self.fleet.run_for(round(day.last_fault_s * S) + 50 * MS)
        self.note("settled")
        self.fleet.run_for(OBSERVATION_NS)
        self.read_logs()
        path = self.folder / "recording.jsonl"
        path.write_text("".join(json.dumps(row) + "\n" for row in self.rows))
        return judge(self.rows, day, self.count, self.window_s)

    def execute_step(self, step: Step) -> None:
        """Executes one step of a day and records the fault."""
        slot, relay = step.slot, self.relay
        if step.what == "start":
            self._start_or_retry(slot)
        elif step.what == "kill":
            self._send_signal(slot, signal.SIGKILL)
            self.note("over", slot=slot)
        elif step.what == "leave":
            self._send_signal(slot, signal.SIGTERM)
            self.note("over", slot=slot)
        elif step.what == "pause":
            self.note("paused", slot=slot)
            self._send_signal(slot, signal.SIGSTOP)
        elif step.what == "go_on":
            self.note("woken", slot=slot)
            self._send_signal(slot, signal.SIGCONT)
        elif step.what == "net":
            relay.faults = step.value or Faults(delay_ns=(0, 0))
        elif step.what == "cut":
            self.note("cut", pairs=sorted(step.value))
            relay.set_cut(step.value)
        elif step.what == "hold":
            relay.hold(slot)
        elif step.what == "release":
            relay.release(slot)
        elif step.what == "noise":
            for data in NOISE:
                relay.send_noise(slot, data)
        elif step.what in ("twin", "usurp"):
            self._start_extra(slot, step.value, is_duplicate=step.what == "twin")

    def get_name(self, slot: int) -> str:
        return self._names[slot]

    def _get_process(self, slot: int) -> Any:
        return self.fleet.schedulers[self._names[slot]].process

    def _send_signal(self, slot: int, number: int) -> None:
        process = self._get_process(slot)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def _start_or_retry(self, slot: int) -> None:
        process = self._get_process(slot)
        if process is not None and process.poll() is None:  # it is still shutting down
            self.loop.call_later(10 * MS, self._start_or_retry, slot)
            return
        self.note("began", slot=slot, name=self._names[slot])
        self.fleet.start_scheduler(self._names[slot])

    def _start_extra(self, slot: int, other: int, is_duplicate: bool) -> None:
        """Starts an extra process with the name of another one, or at the address of another one."""
        name = f"extra{slot}"
        self._names[slot] = name
        self._address_slots[slot] = -1 if is_duplicate else other
        if is_duplicate:
            self._ports[slot] = free_port()
            self.relay.add(slot, ("127.0.0.1", self._ports[slot]))
        self.note("began", slot=slot, name=self._names[other] if is_duplicate else name)
        self.fleet.add_scheduler(slot, name, self._names[other] if is_duplicate else "")

    def close(self) -> None:
        for slot in self._names:
            if self._names[slot] in self.fleet.schedulers:
                self._send_signal(slot, signal.SIGCONT)
        self.fleet.close()
        self.relay.close()


class HasTroubles(Protocol):
    """A verdict that also lists errors in the laboratory itself."""

    @property
    def troubles(self) -> list[str]: ...


def run_day(day: Day, folder: Path, count: int, seed: int) -> Verdict:
    """Runs one day on a new fleet; raises RuntimeError if the fleet does not start."""
    return run_on_new_fleet(
        folder, lambda loop, place: Mesh(loop, place, count, seed), lambda mesh: mesh.run_day_script(day)
    )  # fmt: skip


def run_on_new_fleet(
    folder: Path, create_mesh: Callable[[Loop, Path], MeshT], run: Callable[[MeshT], VerdictT]
) -> VerdictT:
    """Creates, starts, runs and closes a mesh; tries again if other processes took its ports."""
    for attempt in range(MAX_START_ATTEMPTS - 1):
        try:
            return _run_once(folder / f"try-{attempt}", create_mesh, run)
        except PortTaken:
            continue
    return _run_once(folder / "try-last", create_mesh, run)


def _run_once(
    folder: Path, create_mesh: Callable[[Loop, Path], MeshT], run: Callable[[MeshT], VerdictT]
) -> VerdictT:
    folder.mkdir(parents=True, exist_ok=True)
    troubles: list[str] = []
    loop = Loop(trouble=lambda where, error: troubles.append(f"{where}: {error!r}"))
    mesh = create_mesh(loop, folder)
    try:
        mesh.start()
        verdict = run(mesh)
    finally:
        mesh.close()
        loop.close()
    verdict.troubles.extend(troubles)
    return verdict
