"""Decisions on services: sets of copies that should run, and updates that replace them within limits.

Pure: events and time in, actions out; no I/O, clock or globals.  Imports only `ladderhub.interface`.  Where a
copy goes is not decided here: a copy is asked for like any job, through the owner and the decision module.
"""

from ladderhub.rollout.decide import Rollouts

__all__ = ["Rollouts"]
