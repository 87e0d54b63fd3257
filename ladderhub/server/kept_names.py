"""Queues and kinds of node that the policy has or had, and this process's own file has not.

A scheduler that starts anew knows its file before anybody tells it the policy of now.  What runs in a queue
that came with a later policy would not be taken over then, and a service there could not be read.  So such
queues and kinds are kept in the spool folder for the next life: as long as the policy has them, and after
that as long as something of them is left.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from ladderhub.server.lasting import SpoolError, write_lasting
from ladderhub.server.settings import Loaded, NameTable, SettingsError
from ladderhub.server.settings.schema import Kind, Queue
from ladderhub.server.site import Site

FILE_NAME = "kept-names.json"


class _Kept(msgspec.Struct):
    """The file: queues and kinds with the last settings they had."""

    queues: dict[str, Queue] = {}
    kinds: dict[str, Kind] = {}


def with_kept_names(settings: Loaded, folder: Path) -> Loaded:
    """The settings with the names that an earlier life kept, closed until a policy has them; `SpoolError`
    where the file can't be used."""
    path = folder / FILE_NAME
    try:
        kept: _Kept = msgspec.json.decode(path.read_bytes(), type=_Kept)
        return settings.with_closed(kept.queues, kept.kinds)
    except FileNotFoundError:
        return settings
    except (msgspec.MsgspecError, SettingsError) as fault:
        raise SpoolError(str(fault), where=str(path), expected="what the scheduler left") from None


class KeptNames:
    """Writes the file as the policy changes.

    `service_queues` and `node_kinds` tell in which queues services are and which kinds nodes have."""

    def __init__(
        self, site: Site, service_queues: Callable[[], set[str]], node_kinds: Callable[[], set[str]]
    ) -> None:
        self._site, self._service_queues, self._node_kinds = site, service_queues, node_kinds
        self._own_queues, self._own_kinds = set(site.settings.file.queues), set(site.settings.file.kinds)
        self._written: _Kept | None = None
        site.on_settings.append(self._write)

    def _write(self) -> None:
        kept = self._kept()
        if kept == self._written:
            return
        try:
            write_lasting(self._site.folder / FILE_NAME, msgspec.json.encode(kept))
            self._written = kept
        except OSError:
            self._site.log.error("names not kept", exc_info=True)  # the next change tries again

    def _kept(self) -> _Kept:
        settings = self._site.settings
        used = self._service_queues()
        used |= {settings.queues.all[job.queue] for job in self._site.jobs.live.values()}
        queues = {
            name: settings.queue_at[settings.queues.index(name)]
            for name in _needed(settings.queues, used, self._own_queues)
        }
        used = self._node_kinds() | {queue.kind for queue in queues.values()}
        kinds = {
            name: settings.kind_at[settings.kinds.index(name)]
            for name in _needed(settings.kinds, used, self._own_kinds)
        }
        return _Kept(queues, kinds)


def _needed(table: NameTable, used: set[str], own: set[str]) -> list[str]:
    return [name for name in table.all if name not in own and (table.is_open(name) or name in used)]
