"""Measures the cost of accounting processor time and traffic: `python benchmarks/accounts.py`.

Not run in CI.  Prints the time to read the thread's processor clock, to set and call a timer on the plain and
on the accounted loop, and to read and echo a message on a plain stream and on a counted stream of the
accounted loop.  Each figure is the minimum of several repeats.
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
    """Sends received data back."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        stream.write(data)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return


def measure_call_ns(work: Callable[[], object]) -> float:
    """Measure the nanoseconds of one of the `CALLS` operations in `work`."""
    return min(timeit.repeat(work, number=1, repeat=REPEATS)) / CALLS * 1e9


def measure_clock_ns() -> float:
    """Measure a reading of the thread's processor clock."""
    return min(timeit.repeat(time.thread_time_ns, number=CALLS, repeat=REPEATS)) / CALLS * 1e9


def measure_timer_ns(loop: Loop) -> float:
    """Measure setting and calling a timer."""

    def work() -> None:
        for _ in range(CALLS):
            loop.call_at(0, int)
        loop.run_once(0)

    return measure_call_ns(work)


def measure_echo_ns(loop: Loop, make: Callable[[socket.socket], Stream]) -> float:
    """Measure a message that a peer sends, the loop reads and echoes, and the peer reads."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        stream = make(server.accept()[0])

    def work() -> None:
        for _ in range(CALLS):
            peer.send(MESSAGE)
            loop.run_once()
            peer.recv(len(MESSAGE))

    spent = measure_call_ns(work)
    stream.abort()
    peer.close()
    return spent


def make_counted_stream(loop: Loop, sock: socket.socket) -> Stream:
    """Create an echoing stream that counts its traffic."""
    return CountedStream(loop, sock, Echo(), TrafficCount())


def main() -> None:
    plain, accounted = Loop(), AccountedLoop(ProcessorTime())
    print(f"a reading of the thread's processor clock: {measure_clock_ns():.0f} ns")
    print(f"a timer, set and called: {measure_timer_ns(plain):.0f} ns plain", end=", ")
    print(f"{measure_timer_ns(accounted):.0f} ns accounted to the cause that is served already")
    elapsed_ns = measure_echo_ns(plain, lambda sock: Stream(plain, sock, Echo()))
    print(f"a message echoed: {elapsed_ns:.0f} ns plain", end=", ")
    with accounted.processor.section(Cause.JOBS):
        elapsed_ns = measure_echo_ns(accounted, lambda sock: make_counted_stream(accounted, sock))
    print(f"{elapsed_ns:.0f} ns accounted and counted within one cause", end=", ")
    elapsed_ns = measure_echo_ns(
        accounted, lambda sock: accounted.processor.run(Cause.JOBS, make_counted_stream, accounted, sock)
    )
    print(f"{elapsed_ns:.0f} ns with two readings of the clock")


if __name__ == "__main__":
    main()
