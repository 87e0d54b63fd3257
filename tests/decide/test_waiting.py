"""Tasks that wait for a machine: what one look at them may take, and whose turn it is."""

from __future__ import annotations

from ladderhub.decide.scheduler import HOLD_STEP_NS
from ladderhub.interface import Effect, Send, Stage, TaskClass
from tests.helpers import CLASS, Bed, S, settings

MACHINES = 400
LOOKS_MOST = 16_384 // MACHINES
MANY = 6 * LOOKS_MOST
URGENT = TaskClass(Effect.SAFE, aim_ns=S, deadline_ns=5 * S, priority=1)


def waiting_bed() -> Bed:
    """No machine serves, many tasks wait, and then machines come back."""
    bed = Bed(settings(CLASS, URGENT), machines=MACHINES)
    for machine in [entry.machine for entry in bed.entries]:
        bed.change(machine, stage=Stage.DRAINING)
    for task in range(MANY):
        assert not bed.ask(task, cores=0.1, memory=0.1)
    for machine in [entry.machine for entry in bed.entries]:
        bed.change(machine, stage=Stage.SERVING)
    return bed


def sent_in(bed: Bed) -> list[int]:
    """The tasks sent in the next look at those that wait."""
    return [action.task for action in bed.wait(HOLD_STEP_NS) if isinstance(action, Send)]


def test_one_look_at_waiting_tasks_places_a_bounded_number_and_the_next_ones_the_rest() -> None:
    # Guards against one event that holds up the loop for over a second as hundreds find room at once.
    bed = waiting_bed()
    sweeps = [sent_in(bed) for _ in range(MANY // LOOKS_MOST + 1)]
    assert max(map(len, sweeps)) <= LOOKS_MOST
    assert sorted(task for sweep in sweeps for task in sweep) == list(range(MANY))


def test_a_task_of_a_higher_class_goes_before_the_rest_of_a_pass() -> None:
    bed = waiting_bed()
    sent_in(bed)
    for machine in [entry.machine for entry in bed.entries]:
        bed.change(machine, stage=Stage.DRAINING)
    assert not bed.ask(MANY, klass=1, cores=0.1, memory=0.1)
    for machine in [entry.machine for entry in bed.entries]:
        bed.change(machine, stage=Stage.SERVING)
    assert sent_in(bed)[0] == MANY


def test_those_that_find_nothing_do_not_keep_the_others_from_their_turn() -> None:
    # Guards against a bounded look that begins with the same tasks each time.
    bed = Bed(settings(), machines=MACHINES)
    machines = [entry.machine for entry in bed.entries]
    for machine in machines:
        bed.change(machine, stage=Stage.DRAINING)
    stuck = 3 * LOOKS_MOST
    for task in range(stuck):
        bed.ask(task, cores=0.1, memory=0.1, service=f"svc-{task}")
    for held in bed.scheduler.waiting_tasks.values():
        held.struck |= set(machines)
    bed.ask(stuck, cores=0.1, memory=0.1)
    bed.change("m0", stage=Stage.SERVING)
    sweeps = [sent_in(bed) for _ in range(stuck // LOOKS_MOST + 1)]
    assert [task for sweep in sweeps for task in sweep] == [stuck]


def test_a_look_weighs_no_more_machines_in_a_large_fleet() -> None:
    for machines, most in ((40, 16_384 // 40), (1024, 16), (3200, 8)):
        assert Bed(settings(), machines=machines).scheduler.waiting.looks_most() == most
