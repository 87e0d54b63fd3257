"""What all commands share: which server, one connection, options, diagnostics, exit statuses.

Exit statuses: 0 all done, 1 usage or server trouble, 2 the server refused (some of) what was asked, 3 no
server.
"""

from __future__ import annotations

import getopt
import os
import socket
import sys
from collections.abc import Callable

from ladderhub.errors import LadderhubError
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, ReplyParser, Request, encode_request
from ladderhub.pbs.dis import DisError

DEFAULT_PORT = 15001
TIMEOUT_S = 20.0
USAGE, REFUSED, UNREACHED = 1, 2, 3


class CommandError(LadderhubError):
    """Ends the command with one message and its exit status: usage, or trouble here."""

    status, code = USAGE, n.INVALID_REQUEST
    remedy = "give the command as its usage says"


class RefusedError(CommandError):
    """The server refused what was asked."""

    status, code = REFUSED, n.INVALID_REQUEST
    remedy = "read the server's reason; it took nothing"


class UnreachedError(CommandError):
    """No server, or none that answers."""

    status, code = UNREACHED, n.NO_SERVER
    remedy = "look at PBS_SERVER and whether that scheduler runs; `qstat -B` asks it alone"


def options(argv: list[str], letters: str, usage: str) -> tuple[list[tuple[str, str]], list[str]]:
    """Options in order and operands; a wrong option is told with the usage."""
    try:
        return getopt.getopt(argv, letters, ["version", "help"])
    except getopt.GetoptError as fault:
        raise CommandError(f"{fault}\nusage: {usage}") from None


def user() -> str:
    name = os.environ.get("LOGNAME") or os.environ.get("USER")
    if name:
        return name
    import pwd

    try:
        return pwd.getpwuid(os.getuid()).pw_name
    except KeyError:
        return str(os.getuid())


def server_of(name: str = "") -> tuple[str, int]:
    """HOST:PORT of `name`, else of PBS_SERVER, else of PBS_DEFAULT."""
    text = name or os.environ.get("PBS_SERVER") or os.environ.get("PBS_DEFAULT") or ""
    if not text:
        raise UnreachedError("no server is named; set PBS_SERVER=HOST:PORT")
    host, colon, port = text.rpartition(":")
    if not colon:
        return text, DEFAULT_PORT
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise UnreachedError("not a server", where=text, expected="HOST or HOST:PORT")
    return host, int(port)


class Connection:
    """One blocking connection to a server."""

    def __init__(self, name: str = "") -> None:
        self.address = server_of(name)
        try:
            self._sock = socket.create_connection(self.address, timeout=TIMEOUT_S)
        except OSError as fault:
            where = "{}:{}".format(*self.address)
            why = fault.strerror or fault
            raise UnreachedError(f"cannot connect to server {where} ({why})") from None
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._parser = ReplyParser()
        self.user = user()

    def send(self, *requests: Request) -> list[Reply]:
        """Send requests in one go and give their replies in order."""
        for request in requests:
            request.user = self.user
        replies: list[Reply] = []
        try:
            self._sock.sendall(b"".join(map(encode_request, requests)))
            while len(replies) < len(requests):
                reply = self._parser.next()
                if reply is not None:
                    replies.append(reply)
                    continue
                data = self._sock.recv(1 << 18)
                if not data:
                    raise UnreachedError("the server closed the connection")
                self._parser.feed(data)
        except TimeoutError:
            raise UnreachedError(f"the server did not answer within {TIMEOUT_S:g} s") from None
        except OSError as fault:
            raise UnreachedError(f"the connection to the server broke ({fault.strerror or fault})") from None
        except DisError as fault:
            raise UnreachedError(f"the server's answer can't be read: {fault}") from None
        return replies

    def ask(self, request: Request) -> Reply:
        return self.send(request)[0]

    def close(self) -> None:
        try:
            self._sock.sendall(encode_request(Request(n.DISCONNECT, self.user)))
            self._sock.close()
        except OSError:
            return


def words(reply: Reply) -> str:
    """What an error reply says."""
    return reply.text or n.ERRORS.get(reply.code, f"error {reply.code}")


def job_operands(operands: list[str], usage: str) -> list[str]:
    """Job identifiers `number[.server][@server]`, checked."""
    if not operands:
        raise CommandError(f"usage: {usage}")
    jobs = []
    for operand in operands:
        job = operand.partition("@")[0]
        if not job.partition(".")[0].isdigit():
            raise CommandError(f"illegally formed job identifier: {operand}")
        jobs.append(job)
    return jobs


def each_job(
    name: str, jobs: list[str], connection: Connection, make: Callable[[str], Request], show: bool = False
) -> int:
    """One request for each job; every refusal is told, and the rest goes on."""
    status = 0
    for job in jobs:
        reply = connection.ask(make(job))
        if reply.code:
            status = REFUSED
            sys.stderr.write(f"{name}: {words(reply)} {'' if job in words(reply) else job}".rstrip() + "\n")
        elif show and reply.text:
            sys.stderr.write(f"{name}: {job}: {reply.text}\n")
    return status


def resource_attrs(name: str, items: list[tuple[str, str]]) -> list[Attr]:
    return [Attr(name, value, resource) for resource, value in items]


def run(name: str, main: Callable[[list[str]], int]) -> None:
    """Run a command: one message on standard error where it fails, and its exit status."""
    try:
        if sys.argv[1:2] == ["--version"]:
            from ladderhub import __version__

            print(f"ladderhub {__version__}")
            status = 0
        else:
            status = main(sys.argv[1:])
        sys.stdout.flush()
    except CommandError as fault:
        sys.stderr.write(f"{name}: {fault}\n")
        status = fault.status
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
        status = 1
    except KeyboardInterrupt:
        status = 130
    sys.exit(status)
