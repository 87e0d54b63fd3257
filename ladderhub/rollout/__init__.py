"""Decisions about services: sets of copies that should run, and updates that replace them within limits.

The package is pure: it takes events and the time and returns actions, without I/O, clock or global state.  It
imports only `ladderhub.interface`.  It does not choose nodes: a copy is placed like any other job, through
the owner and the decision module.
"""

from ladderhub.rollout.decide import Rollouts

__all__ = ["Rollouts"]
