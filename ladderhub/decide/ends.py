"""What the end of an attempt teaches of its machine."""

from ladderhub.decide.records import NEVER_RAN, REST_FIRST_NS, REST_ODD_NS, Attempt, Task
from ladderhub.interface import AttemptEnded, Outcome, Reason, Settings

ERRORS_ROW = 3  # errors in a row, each of another task, by which a machine and not the tasks shows as sick


def learn_end(settings: Settings, now: int, task: Task, attempt: Attempt, event: AttemptEnded) -> None:
    """Strike the machine out for this task, let it rest for others, as the outcome says."""
    machine = attempt.machine
    never_started = attempt.started is None and not task.placed
    erred, late = (never_started and event.outcome is each for each in (Outcome.ERROR, Outcome.TIMED_OUT))
    unseen = not settings.unreached_count and event.outcome in (Outcome.UNREACHABLE, Outcome.NEVER_SENT)
    task.spent -= unseen
    again = unseen and event.outcome is Outcome.UNREACHABLE  # it rests, and may be tried after that
    if not again and (event.outcome in NEVER_RAN or erred or late):
        task.struck.add(machine.id)
    silent = event.outcome is Outcome.TIMED_OUT and not (task.placed or settings.first_at_running)
    lost = event.outcome is Outcome.LOST
    leaving = event.reason is Reason.NOT_HERE and task.maybe_ran is None
    if event.reason is Reason.EVICTED:
        machine.notes[1] = (now, 1.0)
    elif leaving or silent or event.outcome is Outcome.UNREACHABLE or (lost and task.placed):
        # Danger: it drains, dies or is cut off seconds before any list tells, and has the shortest line.
        # Harm: a machine that only erred, or whose answers alone are lost, rests for a spell.
        machine.rest(now, None)
    elif event.outcome is Outcome.REFUSED:
        # Danger: a machine that turns a class away keeps an empty line and draws all of it.  Lack of room is
        # told and passes; what comes with no reason lasts.  Harm: room that came back is found a little late.
        machine.rest(now, task.what, REST_FIRST_NS if event.reason else REST_ODD_NS)
    elif erred and task.maybe_ran is None:
        # Danger: a sick machine errs at once, and its shortest line draws everything.  One task may err
        # everywhere, hence several.  Harm: several broken tasks in a row rest a good machine for a spell.
        machine.errors += 1
        if machine.errors >= ERRORS_ROW:
            machine.rest(now, None)
