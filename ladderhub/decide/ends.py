"""Updates the state of a task and its machine when an attempt ends."""

from ladderhub.decide.records import INITIAL_BACKOFF_NS, NEVER_RAN, UNEXPLAINED_BACKOFF_NS, Attempt, Task
from ladderhub.interface import AttemptEnded, Outcome, Reason, Settings

FAULTY_MACHINE_ERRORS = 3  # errors in a row, each of another task, that show the machine to be at fault


def record_end(settings: Settings, now: int, task: Task, attempt: Attempt, event: AttemptEnded) -> None:
    """Exclude the machine for this task and let it back off for others, depending on the outcome."""
    machine = attempt.machine
    never_started = attempt.started_ns is None and not task.placed
    erred, timed_out = (
        never_started and event.outcome is each for each in (Outcome.ERROR, Outcome.TIMED_OUT)
    )
    is_uncounted = not settings.unreached_count and event.outcome in (Outcome.UNREACHABLE, Outcome.NEVER_SENT)
    task.used_attempts -= is_uncounted
    may_retry_here = is_uncounted and event.outcome is Outcome.UNREACHABLE  # once its back-off is over
    if not may_retry_here and (event.outcome in NEVER_RAN or erred or timed_out):
        task.excluded.add(machine.id)
    is_silent = event.outcome is Outcome.TIMED_OUT and not (task.placed or settings.first_at_running)
    is_lost = event.outcome is Outcome.LOST
    is_leaving = event.reason is Reason.NOT_HERE and task.first_possible_run is None
    if event.reason is Reason.EVICTED:
        machine.pressure_notes[1] = (now, 1.0)
    elif is_leaving or is_silent or event.outcome is Outcome.UNREACHABLE or (is_lost and task.placed):
        # The machine drains, fails or is cut off seconds before any list says so, and has the shortest queue.
        # The cost: a machine that only had an error, or whose answers alone were lost, backs off for a while.
        machine.back_off(now, None)
    elif event.outcome is Outcome.REFUSED:
        # A machine that refuses a class keeps an empty queue and would attract all of its tasks.  A lack of
        # room is given as the reason and passes; a refusal without a reason lasts.  The cost: room that
        # becomes free is found a little later.
        machine.back_off(
            now, task.class_and_tenant, INITIAL_BACKOFF_NS if event.reason else UNEXPLAINED_BACKOFF_NS
        )
    elif erred and task.first_possible_run is None:
        # A faulty machine fails at once, and as its queue is the shortest it would attract every task.  One
        # task may fail everywhere, so several must fail here.  The cost: several broken tasks in a row make
        # a healthy machine back off for a while.
        machine.consecutive_errors += 1
        if machine.consecutive_errors >= FAULTY_MACHINE_ERRORS:
            machine.back_off(now, None)
