"""The base of all errors of ladderhub.  Must import nothing else of it: every package may use this one.

An error says what is wrong, where (a file, a field, a line, a peer), what was meant; its type says what an
operator can do about it, with one exit status and one reply code of the batch protocol a type.  Errors are
for what somebody can mend: spoilt input off the wire is counted by `errors.tally` and told once a second.
The base is light, since `qsub` loads it: no `typing`, no `dataclasses`.
"""

from ladderhub.errors.base import LadderhubError, iter_error_types

__all__ = ["LadderhubError", "iter_error_types"]
