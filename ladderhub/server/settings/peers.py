"""Checks of the settings under `peers`: the other schedulers and the leases of the cold budget."""

from __future__ import annotations

from dataclasses import dataclass

from ladderhub.server.settings.checks import Checker
from ladderhub.server.settings.schema import SettingsFile


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Checked settings of `peers`."""

    listen: tuple[str, int]
    advertise: str
    seeds: tuple[str, ...]
    cluster: str
    period_ns: int
    voters: tuple[str, ...]  # `electors` in the file
    lease_ns: int


def make_peer_settings(file: SettingsFile, checker: Checker) -> PeerSettings | None:
    """Return the checked settings; None if the file has no `peers`."""
    given = file.peers
    if given is None:
        return None
    for index, seed in enumerate(given.seeds):
        checker.parse_address(f"peers.seeds[{index}]", seed)
    listen = checker.parse_address("peers.listen", given.listen)
    advertise = given.advertise or given.listen
    host, port = checker.parse_address("peers.advertise", advertise)
    if host in ("0.0.0.0", "") or port == 0 or len(advertise) > 64:
        raise checker.make_error("peers.advertise", advertise, "an address that peers can reach, HOST:PORT,")
    if not given.cluster:
        raise checker.make_error("peers.cluster", given.cluster, "the name of the cluster")
    if len(file.server) > 64:
        raise checker.make_error("server", file.server, "a name of at most 64 characters (peers carry it)")
    period_ns = checker.parse_duration_ns("peers.period", given.period)
    if not 50_000_000 <= period_ns <= 60_000_000_000:
        raise checker.make_error("peers.period", given.period, "50ms to 60s")
    from ladderhub.membership.messages import MAX_SLOTS  # loaded only if there are peers

    for index, elector in enumerate(given.electors):
        checker.parse_address(f"peers.electors[{index}]", elector)
    if len(set(given.electors)) != len(given.electors):
        raise checker.make_error("peers.electors", given.electors, "each address once")
    lease_ns = checker.parse_duration_ns("peers.lease", given.lease)
    if given.electors and lease_ns < 4 * period_ns:
        raise checker.make_error("peers.lease", given.lease, "four periods or more")
    if given.electors and file.schedulers > MAX_SLOTS:
        raise checker.make_error("schedulers", file.schedulers, f"at most {MAX_SLOTS} with electors")
    seeds, voters = tuple(given.seeds), tuple(given.electors)
    return PeerSettings(listen, advertise, seeds, given.cluster, period_ns, voters, lease_ns)
