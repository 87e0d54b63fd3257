"""The life cycle of a job between placements: when to request one again, to wait, to query or to stop a run.

Pure: takes events and the time, returns actions; no I/O, clock or globals.  Imports only
`ladderhub.interface`.
"""

from ladderhub.owner.decide import Owner

__all__ = ["Owner"]
