"""The base class of all errors of ladderhub.

Every package may import this one, so it must import nothing else of ladderhub.  An error says what is wrong,
where (a file, a field, a line, a peer) and what was expected.  Its type says what an operator can do about it
and has one exit status and one reply code of the batch protocol.  Errors are for what somebody can fix:
malformed input from the network is counted by `errors.tally` instead and reported once a second.  The base
class must import neither `typing` nor `dataclasses`, because every start of `qsub` loads it.
"""

from ladderhub.errors.base import LadderhubError, iter_error_types

__all__ = ["LadderhubError", "iter_error_types"]
