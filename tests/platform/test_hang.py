"""Machines that hang: their kernel accepts connections, which they open and read in order when they go on."""

from __future__ import annotations

from typing import Any

import pytest

from ladderhub.signalling import Kind
from tests.platform.bed import MS, Machine, MachineConn, Owner, S, accept_all, place_task, release

DONE = 16


class HangingMachine:
    """Has a machine hang: what is sent to it, and the connections to it, wait until it goes on."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.waiting: list[MachineConn] = []  # accepted by its kernel alone
        self.ends: list[str] = []  # told again on the next connection
        for conn in machine.conns:
            conn.stream.pause(True)
        machine.on_accept = self._on_accepted_by_kernel

    def _on_accepted_by_kernel(self, conn: MachineConn) -> None:
        conn.stream.pause(True)
        self.waiting.append(conn)

    def finish(self, id: str) -> None:
        """A task comes to its end, which is told once the machine goes on."""
        self.ends.append(id)

    def go_on(self) -> None:
        """Tell the ends on the connection that was open, which may be dead, and on the next one opened."""
        self.machine.on_accept = lambda conn: None
        for conn in self.waiting[:1]:
            conn.send(*(release(id, DONE) for id in self.ends))
        for conn in list(self.machine.conns):
            conn.stream.pause(False)


@pytest.mark.parametrize("hang_ms", [2_500, 3_500, 4_500, 5_500, 9_000, 14_000])
def test_what_ended_at_a_machine_that_hung_is_told_when_it_goes_on(beds: Any, hang_ms: int) -> None:
    # Guards against an end that waits for a connection which was given up as silent before it was opened.
    bed = beds(accept_all)
    owner = Owner(bed)
    asked = place_task(bed, owner, "web")
    hanging = HangingMachine(bed.machines[0])
    bed.run(span_ns=hang_ms * MS // 2)
    hanging.finish(asked.id)
    bed.run(span_ns=hang_ms * MS // 2)
    hanging.go_on()
    bed.run(span_ns=3 * S)
    told = [each.cause for each in owner.received(Kind.RELEASE) if each.id == asked.id]
    assert told == ([DONE] if hang_ms < 6_000 else [41])
    assert not bed.service.links.get("m0").tasks.has_duties()
