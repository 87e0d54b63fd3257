"""Runs one case.  Its exit status is BROKEN, which run.sh turns into 1, or 0 if the rule held; any other one
means that the case could not run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins.platform import CouldNotRun, Platform

LIMIT_S = 110
BROKEN = 10  # not 1, with which the interpreter ends where a case fails by itself


def run_case(folder: Path, play: Callable[[Platform, bool], Awaitable[list[str]]], **options: Any) -> None:
    """`play` gets the platform and whether the disruption is played, and returns the breaches that it saw."""
    sys.exit(asyncio.run(_run(folder, play, options)))


async def _run(
    folder: Path, play: Callable[[Platform, bool], Awaitable[list[str]]], options: dict[str, Any]
) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    platform = Platform(folder, **options)
    status = 2
    this_task = asyncio.current_task()
    assert this_task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, this_task.cancel)
    try:
        platform.record.line("case", f"TROUBLE={int(trouble)}")
        async with asyncio.timeout(LIMIT_S):
            breaches = await play(platform, trouble)
        for breach in breaches:
            platform.record.line("BREACH", breach)
            print(f"rule broken: {breach}")
        status = BROKEN if breaches else 0
        verdict = "the rule was broken" if breaches else "the rule held"
        platform.record.line("case", verdict)
        print(verdict)
    except (CouldNotRun, TimeoutError, OSError) as fault:
        platform.record.line("case", f"could not run: {fault!r}")
        print(f"could not run: {fault!r}")
    except asyncio.CancelledError:
        print("could not run: it was stopped")
    except Exception:
        print(traceback.format_exc())
    finally:
        platform.close()
    return status
