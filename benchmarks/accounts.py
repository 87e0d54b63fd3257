"""Cost of the accounts of processor time and traffic: `python benchmarks/accounts.py`.

Outside CI.  Prints the time of one reading of the thread's processor clock; of a timer that is set and called
on the plain and on the accounted loop; and of a message that a stream reads and echoes, plain, accounted and
counted.  Each figure is the least of some repeats.
"""

from __future__ import annotations

import socket
import time
import timeit
from collections.abc import Callable

from ladderhub.loop import Loop, Stream
from ladderhub.usage.accounted import AccountedLoop, CountedStream
from ladderhub.usage.processor import Cause, ProcessorTime
from ladderhub.usage.traffic import TrafficCount

CALLS, REPEATS = 10_000, 9
MESSAGE = b"x" * 200


class Echo:
    """Sends back what comes."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.write(data)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return


def least_ns(work: Callable[[], object]) -> float:
    """Nanoseconds of one of the calls that `work` makes."""
    return min(timeit.repeat(work, number=1, repeat=REPEATS)) / CALLS * 1e9


def reading_ns() -> float:
    return min(timeit.repeat(time.thread_time_ns, number=CALLS, repeat=REPEATS)) / CALLS * 1e9


def timer_ns(loop: Loop) -> float:
    """A timer, set and called."""

    def work() -> None:
        for _ in range(CALLS):
            loop.call_at(0, int)
        loop.run_once(0)

    return least_ns(work)


def echo_ns(loop: Loop, make: Callable[[socket.socket], Stream]) -> float:
    """A message that a peer sends, the loop reads and sends back, and the peer reads."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        stream = make(server.accept()[0])

    def work() -> None:
        for _ in range(CALLS):
            peer.send(MESSAGE)
            loop.run_once()
            peer.recv(len(MESSAGE))

    spent = least_ns(work)
    stream.abort()
    peer.close()
    return spent


def counted(loop: Loop, sock: socket.socket) -> Stream:
    return CountedStream(loop, sock, Echo(), TrafficCount())


def main() -> None:
    plain, accounted = Loop(), AccountedLoop(ProcessorTime())
    print(f"a reading of the thread's processor clock: {reading_ns():.0f} ns")
    print(f"a timer, set and called: {timer_ns(plain):.0f} ns plain", end=", ")
    print(f"{timer_ns(accounted):.0f} ns accounted to the cause that is served already")
    told = echo_ns(plain, lambda sock: Stream(plain, sock, Echo()))
    print(f"a message echoed: {told:.0f} ns plain", end=", ")
    with accounted.processor.section(Cause.JOBS):
        told = echo_ns(accounted, lambda sock: counted(accounted, sock))
    print(f"{told:.0f} ns accounted and counted within one cause", end=", ")
    told = echo_ns(accounted, lambda sock: accounted.processor.run(Cause.JOBS, counted, accounted, sock))
    print(f"{told:.0f} ns with two readings of the clock")


if __name__ == "__main__":
    main()
