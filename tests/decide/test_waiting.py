"""Tasks that wait for a machine: the cost of one sweep over them, and the order in which they are tried."""

from __future__ import annotations

from ladderhub.decide.scheduler import SWEEP_INTERVAL_NS
from ladderhub.interface import Effect, Send, Stage, TaskClass
from tests.helpers import CLASS, SchedulerHarness, S, make_settings

MACHINES = 400
MAX_PICKS = 16_384 // MACHINES
TASKS = 6 * MAX_PICKS
URGENT = TaskClass(Effect.SAFE, aim_ns=S, deadline_ns=5 * S, priority=1)


def make_waiting_harness() -> SchedulerHarness:
    """Return a harness in which many tasks wait, as no machine served, and all machines serve again."""
    harness = SchedulerHarness(make_settings(CLASS, URGENT), machines=MACHINES)
    for machine in [entry.machine for entry in harness.entries]:
        harness.change_machine(machine, stage=Stage.DRAINING)
    for task in range(TASKS):
        assert not harness.ask(task, cores=0.1, memory=0.1)
    for machine in [entry.machine for entry in harness.entries]:
        harness.change_machine(machine, stage=Stage.SERVING)
    return harness


def get_tasks_sent_in_sweep(harness: SchedulerHarness) -> list[int]:
    """Return the tasks sent in the next sweep over the waiting tasks."""
    return [action.task for action in harness.wait(SWEEP_INTERVAL_NS) if isinstance(action, Send)]


def test_one_sweep_places_a_bounded_number_of_tasks_and_the_next_ones_the_rest() -> None:
    # Guards against an event that blocks the loop for over a second when hundreds of tasks find room at once.
    harness = make_waiting_harness()
    sweeps = [get_tasks_sent_in_sweep(harness) for _ in range(TASKS // MAX_PICKS + 1)]
    assert max(map(len, sweeps)) <= MAX_PICKS
    assert sorted(task for sweep in sweeps for task in sweep) == list(range(TASKS))


def test_a_task_of_a_higher_class_goes_before_the_rest_of_a_pass() -> None:
    harness = make_waiting_harness()
    get_tasks_sent_in_sweep(harness)
    for machine in [entry.machine for entry in harness.entries]:
        harness.change_machine(machine, stage=Stage.DRAINING)
    assert not harness.ask(TASKS, klass=1, cores=0.1, memory=0.1)
    for machine in [entry.machine for entry in harness.entries]:
        harness.change_machine(machine, stage=Stage.SERVING)
    assert get_tasks_sent_in_sweep(harness)[0] == TASKS


def test_tasks_that_find_no_machine_do_not_block_the_others() -> None:
    # Guards against a bounded sweep that begins with the same tasks each time.
    harness = SchedulerHarness(make_settings(), machines=MACHINES)
    machines = [entry.machine for entry in harness.entries]
    for machine in machines:
        harness.change_machine(machine, stage=Stage.DRAINING)
    stuck = 3 * MAX_PICKS
    for task in range(stuck):
        harness.ask(task, cores=0.1, memory=0.1, service=f"svc-{task}")
    for task_state in harness.scheduler.waiting_tasks.values():
        task_state.excluded |= set(machines)
    harness.ask(stuck, cores=0.1, memory=0.1)
    harness.change_machine("m0", stage=Stage.SERVING)
    sweeps = [get_tasks_sent_in_sweep(harness) for _ in range(stuck // MAX_PICKS + 1)]
    assert [task for sweep in sweeps for task in sweep] == [stuck]


def test_a_sweep_examines_no_more_machines_in_a_large_fleet() -> None:
    for machines, most in ((40, 16_384 // 40), (1024, 16), (3200, 8)):
        assert (
            SchedulerHarness(make_settings(), machines=machines).scheduler.wait_queue.get_max_picks() == most
        )
