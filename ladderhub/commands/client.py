"""Code that all commands share: server address, connection, options, error messages, exit statuses.

Exit statuses: 0 success, 1 wrong usage or a local error, 2 the server refused at least one request, 3 the
server could not be reached.
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
EXIT_USAGE, EXIT_REFUSED, EXIT_UNREACHED = 1, 2, 3


class CommandError(LadderhubError):
    """Ends the command with one message and its exit status: wrong usage or a local error."""

    status, code = EXIT_USAGE, n.INVALID_REQUEST
    remedy = "give the command as its usage says"


class RefusedError(CommandError):
    """The server refused the request."""

    status, code = EXIT_REFUSED, n.INVALID_REQUEST
    remedy = "read the server's reason; it took nothing"


class UnreachedError(CommandError):
    """No server is named, or it can't be reached or does not answer."""

    status, code = EXIT_UNREACHED, n.NO_SERVER
    remedy = "look at PBS_SERVER and whether that scheduler runs; `qstat -B` asks it alone"


def parse_options(argv: list[str], letters: str, usage: str) -> tuple[list[tuple[str, str]], list[str]]:
    """Returns the options in order and the operands; a wrong option ends the command with the usage."""
    try:
        return getopt.getopt(argv, letters, ["version", "help"])
    except getopt.GetoptError as fault:
        raise CommandError(f"{fault}\nusage: {usage}") from None


def get_user_name() -> str:
    """Returns the login name, or the numeric user ID where there is none."""
    name = os.environ.get("LOGNAME") or os.environ.get("USER")
    if name:
        return name
    import pwd

    try:
        return pwd.getpwuid(os.getuid()).pw_name
    except KeyError:
        return str(os.getuid())


def parse_server_address(name: str = "") -> tuple[str, int]:
    """Returns host and port from `name`, else from PBS_SERVER, else from PBS_DEFAULT."""
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
        self.address = parse_server_address(name)
        try:
            self._sock = socket.create_connection(self.address, timeout=TIMEOUT_S)
        except OSError as fault:
            where = "{}:{}".format(*self.address)
            why = fault.strerror or fault
            raise UnreachedError(f"cannot connect to server {where} ({why})") from None
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._parser = ReplyParser()
        self.user = get_user_name()

    def send(self, *requests: Request) -> list[Reply]:
        """Sends the requests together and returns their replies in order."""
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
        """Sends one request and returns its reply."""
        return self.send(request)[0]

    def close(self) -> None:
        """Sends Disconnect and closes the socket; errors are ignored."""
        try:
            self._sock.sendall(encode_request(Request(n.DISCONNECT, self.user)))
            self._sock.close()
        except OSError:
            return


def describe_error(reply: Reply) -> str:
    """Returns the text of an error reply, or the published text of its code."""
    return reply.text or n.ERRORS.get(reply.code, f"error {reply.code}")


def parse_job_ids(operands: list[str], usage: str) -> list[str]:
    """Checks job identifiers `number[.server][@server]` and returns them without `@server`."""
    if not operands:
        raise CommandError(f"usage: {usage}")
    jobs = []
    for operand in operands:
        job = operand.partition("@")[0]
        if not job.partition(".")[0].isdigit():
            raise CommandError(f"illegally formed job identifier: {operand}")
        jobs.append(job)
    return jobs


def send_for_each_job(
    name: str,
    jobs: list[str],
    connection: Connection,
    make_request: Callable[[str], Request],
    show_text: bool = False,
) -> int:
    """Sends one request for each job, prints each refusal and continues; returns the exit status."""
    status = 0
    for job in jobs:
        reply = connection.ask(make_request(job))
        if reply.code:
            status = EXIT_REFUSED
            sys.stderr.write(
                f"{name}: {describe_error(reply)} {'' if job in describe_error(reply) else job}".rstrip()
                + "\n"
            )
        elif show_text and reply.text:
            sys.stderr.write(f"{name}: {job}: {reply.text}\n")
    return status


def make_resource_attrs(name: str, items: list[tuple[str, str]]) -> list[Attr]:
    """Returns one attribute `name.resource` for each pair of resource and value."""
    return [Attr(name, value, resource) for resource, value in items]


def run_command(name: str, main: Callable[[list[str]], int]) -> None:
    """Runs a command and exits with its status; a failure prints one message on standard error."""
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
