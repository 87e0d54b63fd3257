"""The log of a process whose reader is slow, or whose file can't be written."""

from __future__ import annotations

import errno
import fcntl
import json
import os
import select
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ladderhub.lab.ports import free_port
from ladderhub.platform.report import MAX_BUFFERED_BYTES, LogWriter
from ladderhub.signalling import Kind, Message, encode_line
from tests.platform.bed import settings
from tests.platform.process_bed import ROOT


def test_a_log_that_nobody_reads_delays_no_request(tmp_path: Path) -> None:
    port = free_port()
    file = {"journal": f"127.0.0.1:{free_port()}", "settings": settings(), "known": {"pos": 0, "entries": []}}
    (tmp_path / "c.json").write_text(json.dumps(file))
    environment = os.environ | {"PROXY_LISTEN": f"127.0.0.1:{port}", "PROXY_CONFIG": str(tmp_path / "c.json")}
    reads, writes = os.pipe()
    fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, 4096)
    argv = [sys.executable, "-m", "ladderhub", "platform"]
    child = subprocess.Popen(argv, cwd=ROOT, env=environment, stderr=writes)
    try:
        assert b"ready" in os.read(reads, 4096)
        space = select.poll()
        space.register(writes, select.POLLOUT)
        while space.poll(0):
            os.write(writes, b"-" * 4096)  # the pipe is full, and stays so
        bad = encode_line(Message(Kind.SETUP, "b" * 16, None, "x" * 200, {"class": "c" * 300}))
        for _ in range(10):  # each is logged
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.settimeout(20)
                caller.sendall(bad)
                assert json.loads(caller.makefile("rb").readline())["cause"] == 100
    finally:
        child.kill()
        child.wait()
    os.close(reads)
    os.close(writes)


def test_lines_are_buffered_for_a_slow_reader_up_to_a_limit_and_written_whole() -> None:
    reads, writes = os.pipe()
    fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, 4096)
    writer = LogWriter(writes)
    lines = [b"%06d" % number + b"-" * 993 + b"\n" for number in range(2 * MAX_BUFFERED_BYTES // 1000)]
    for line in lines:
        writer.write(line)
    assert writer.dropped > 0
    got = b""
    while writer.count_buffered():
        got += os.read(reads, 4096)
        writer.flush()
    got += os.read(reads, 4096)
    kept = got.splitlines(keepends=True)
    assert kept == lines[: len(kept)] and len(kept) + writer.dropped == len(lines)
    os.close(reads)
    os.close(writes)


@pytest.mark.parametrize("fault", [errno.EIO, errno.ENOSPC, errno.EPIPE, errno.EAGAIN])
def test_a_log_that_cannot_be_written_is_dropped_and_works_again(
    monkeypatch: pytest.MonkeyPatch, fault: int
) -> None:
    reads, writes = os.pipe()
    writer = LogWriter(writes)

    def fail(*_: Any) -> int:
        raise OSError(fault, os.strerror(fault))

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", fail)
        writer.write(b"one\n")
    writer.write(b"two\n")
    assert os.read(reads, 100) in (b"two\n", b"one\ntwo\n")
    os.close(reads)
    os.close(writes)
