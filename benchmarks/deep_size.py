"""The memory of an object with everything that it references."""

from __future__ import annotations

import gc
import sys
from types import FunctionType, ModuleType


def get_deep_size(root: object) -> int:
    """Return the bytes of an object and all that it references, except classes, functions and modules."""
    seen: set[int] = set()
    pending, total = [root], 0
    while pending:
        each = pending.pop()
        if id(each) in seen or isinstance(each, type | FunctionType | ModuleType):
            continue
        seen.add(id(each))
        total += sys.getsizeof(each)
        pending += gc.get_referents(each)
    return total
