"""The event loop: sockets, timers, signals and child processes on `selectors`, with an injected clock.

It imports nothing else of ladderhub and knows neither protocols nor decisions.  It uses neither threads nor
`asyncio`.  The HTTP server is imported from `loop.http`, since it needs a library that not every installation
has.
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
