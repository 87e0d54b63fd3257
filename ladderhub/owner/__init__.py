"""Decisions on a job between its placings: when to ask again, when to wait, when a stop or a query is due.

Pure: events and time in, actions out; no I/O, clock or globals.  Imports only `ladderhub.interface`.
"""

from ladderhub.owner.decide import Owner

__all__ = ["Owner"]
