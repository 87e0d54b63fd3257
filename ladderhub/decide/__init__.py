"""Every decision of a ladderhub scheduler; its types, events and actions stand in `ladderhub/interface/`.

The path of a task: `scheduler` takes it and asks `picking`, which strikes out machines (`rules`, `accounts`)
and takes the lowest time to start (`estimates`, `warmth`).  `Scheduler._send` is the door for all offers,
`_give_up` for final answers.  `waiting` keeps the tasks that found no machine, and says whose turn it is.
`estimates` learns from starts, `ends` from ends; `fleet` follows the list.

Imports `ladderhub.interface` and the standard library alone; each file only those above it in this order:
records, accounts, warmth, fleet, rules, estimates, picking, waiting, ends, scheduler.
"""

from ladderhub.decide.scheduler import Scheduler

__all__ = ["Scheduler"]
