"""Every placement decision of a ladderhub scheduler; its events, actions and settings are in
`ladderhub/interface/`.

The path of a task: `scheduler` receives it and asks `picking`, which excludes machines (`rules`, `accounts`)
and takes the one with the lowest expected time to start (`estimates`, `warmth`).  All offers go through
`Scheduler._send`, all final answers through `_give_up`.  `waiting` holds the tasks that found no machine and
decides which are tried next.  `estimates` learns from starts, `ends` from ends; `fleet` follows the list.

Imports `ladderhub.interface` and the standard library alone; each file only those above it in this order:
records, accounts, warmth, fleet, rules, estimates, picking, waiting, ends, scheduler.
"""

from ladderhub.decide.scheduler import Scheduler

__all__ = ["Scheduler"]
