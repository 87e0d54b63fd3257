"""The one event loop: sockets, timers, signals and child processes on `selectors`, with an injected clock.

Imports nothing else of ladderhub: it knows neither protocols nor decisions.  No threads, no `asyncio`.  The
small HTTP stands in `loop.http` and is imported from there, since it needs a library that not all doors have.
"""

from ladderhub.loop.clock import Clock, ManualClock, SteadyClock
from ladderhub.loop.core import Loop, Timer
from ladderhub.loop.listener import Listener
from ladderhub.loop.stream import Handler, Stream, parse_address

__all__ = [
    "Clock",
    "Handler",
    "Listener",
    "Loop",
    "ManualClock",
    "SteadyClock",
    "Stream",
    "Timer",
    "parse_address",
]
