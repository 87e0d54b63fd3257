"""The journal service: numbered events of the list of machines, told over TCP."""

from __future__ import annotations

import asyncio
import json

from review.standins.record import Record, now


class Journal:
    """`answer_delay_s`: how long a connection waits for the first line after it asked (a slow service)."""

    def __init__(self, record: Record) -> None:
        self.record, self.answer_delay_s = record, 0.0
        self.events: list[dict[str, object]] = []
        self.told_ns: dict[int, float] = {}  # when each event came to be in the journal
        self.asked: list[float] = []
        self._writers: dict[asyncio.StreamWriter, int] = {}  # and the number of the last event each has
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def add(self, rows: list[dict[str, object]], snapshot: bool = False) -> float:
        """Put an event into the journal; return when."""
        pos = len(self.events) + 1
        hosts = {"index": pos, "snapshot": snapshot, "endpoints": rows}
        self.events.append({"pos": pos, "hosts": hosts})
        self.record.line("journal", f"event {pos}: {[(row['name'], row['status']) for row in rows]}")
        for writer in self._writers:
            self._tell(writer)
        return now()

    def _tell(self, writer: asyncio.StreamWriter) -> None:
        for event in self.events[self._writers[writer] :]:
            writer.write(json.dumps(event).encode() + b"\n")
        self._writers[writer] = len(self.events)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            if not line.startswith(b"tail "):
                return
            self.asked.append(now())
            self.record.line("journal", f"asked: {line.decode().strip()}")
            if self.answer_delay_s:
                await asyncio.sleep(self.answer_delay_s)
            if writer.transport.is_closing() or reader.at_eof():
                self.record.line("journal", "the one who asked has gone before the answer")
                return
            self.record.line("journal", "answers")
            self._writers[writer] = int(line.split()[1])
            self._tell(writer)
            while not reader.at_eof() and not writer.transport.is_closing():
                writer.write(b"%d\n" % len(self.events))
                await asyncio.sleep(1)
        except (OSError, asyncio.CancelledError):  # cancelled as the run ends
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()

    def break_off(self) -> None:
        """All connections end."""
        self.record.line("journal", "breaks off")
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
