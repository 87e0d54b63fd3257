"""Log lines count for their own cause and keep their fields."""

from __future__ import annotations

import json
from pathlib import Path
from collections.abc import Iterator
from typing import Any, cast

import pytest
import structlog

from ladderhub.cli.common import set_up_log
from ladderhub.server.daemon import Daemon
from ladderhub.server.settings import check
from ladderhub.loop import Loop
from ladderhub.usage.processor import Cause, ProcessorTime
from ladderhub.lab.fleet import SETTINGS


class RecordingProcessorTime(ProcessorTime):
    """Records the causes it switched to."""

    def __init__(self) -> None:
        self.switched: list[Cause] = []
        super().__init__()

    def switch(self, cause: Cause) -> Cause:
        self.switched.append(cause)
        return super().switch(cause)


@pytest.fixture
def plain_log_afterwards() -> Iterator[None]:
    yield
    structlog.reset_defaults()


@pytest.mark.usefixtures("plain_log_afterwards")
def test_rows_may_name_any_field_and_their_time_is_the_logs(capfdbinary: Any) -> None:
    # Guards against fields of a log line (as `cause`) that are taken for arguments of ProcessorTime.run.
    processor = RecordingProcessorTime()
    log = set_up_log("json", "info", processor)
    log.info("member", cause="heard", call="x", args=1, name="n", options=2)
    assert processor.switched == [Cause.LOG_METRICS, Cause.OTHER]
    log.debug("below the level")
    assert len(processor.switched) == 2
    row = json.loads(capfdbinary.readouterr().err)
    fields = {
        "cause": "heard",
        "call": "x",
        "args": 1,
        "name": "n",
        "options": 2,
    }
    assert fields.items() <= row.items() and row["event"] == "member"


@pytest.mark.usefixtures("plain_log_afterwards")
def test_a_fault_in_a_decision_is_told_in_the_log_and_stops_nothing(tmp_path: Path, capfdbinary: Any) -> None:
    # Guards against an exception while this line is logged: it stopped the handling of all queued events.
    value = SETTINGS | {
        "server": "a", "listen": "127.0.0.1:1", "directory": "127.0.0.1:2", "spool": str(tmp_path),
    }  # fmt: skip
    loop = Loop()
    daemon = Daemon(loop, check(value, "test"), set_up_log("json", "info"))
    daemon.site.tell_owner(cast(Any, "no event"))
    row = json.loads(capfdbinary.readouterr().err.splitlines()[-1])
    assert (row["event"], row["told"], daemon.metrics.troubles) == ("decision", "'no event'", 1)
    daemon.close()
    loop.close()
