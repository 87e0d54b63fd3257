"""What an object weighs with all that hangs on it."""

from __future__ import annotations

import gc
import sys
from types import FunctionType, ModuleType


def deep_size(root: object) -> int:
    """Bytes of all that hangs on an object, but for code and modules."""
    seen: set[int] = set()
    waiting, total = [root], 0
    while waiting:
        each = waiting.pop()
        if id(each) in seen or isinstance(each, type | FunctionType | ModuleType):
            continue
        seen.add(id(each))
        total += sys.getsizeof(each)
        waiting += gc.get_referents(each)
    return total
