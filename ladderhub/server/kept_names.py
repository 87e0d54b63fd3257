"""Queues and kinds of node that the policy has or had but this process's settings file lacks.

A restarted scheduler knows its settings file before it learns the current policy.  Without these names it
could not adopt jobs that run in a queue of a later policy, nor read a service of such a queue.  They are
therefore kept in the spool folder for the next life: while the policy has them, and then while jobs, services
or nodes still use them.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from ladderhub.server.context import DaemonContext
from ladderhub.server.settings import LoadedSettings, NameTable, SettingsError
from ladderhub.server.settings.schema import Kind, Queue
from ladderhub.server.spool import SpoolError, write_durably

FILE_NAME = "kept-names.json"


class _Kept(msgspec.Struct):
    """The file: queues and kinds with the last settings they had."""

    queues: dict[str, Queue] = {}
    kinds: dict[str, Kind] = {}


def with_kept_names(settings: LoadedSettings, folder: Path) -> LoadedSettings:
    """Return the settings with the names kept by an earlier life, closed until a policy has them;
    `SpoolError` if the file can't be used."""
    path = folder / FILE_NAME
    try:
        kept: _Kept = msgspec.json.decode(path.read_bytes(), type=_Kept)
        return settings.with_closed(kept.queues, kept.kinds)
    except FileNotFoundError:
        return settings
    except (msgspec.MsgspecError, SettingsError) as fault:
        raise SpoolError(str(fault), where=str(path), expected="what the scheduler left") from None


class KeptNames:
    """Writes the file when the policy changes.

    `service_queues` returns the queues that have services, `node_kinds` the kinds of the listed nodes."""

    def __init__(
        self,
        context: DaemonContext,
        service_queues: Callable[[], set[str]],
        node_kinds: Callable[[], set[str]],
    ) -> None:
        self._context, self._service_queues, self._node_kinds = context, service_queues, node_kinds
        self._own_queues, self._own_kinds = (
            set(context.settings.file.queues),
            set(context.settings.file.kinds),
        )
        self._written: _Kept | None = None
        context.on_settings_changed.append(self._write)

    def _write(self) -> None:
        kept = self._collect()
        if kept == self._written:
            return
        try:
            write_durably(self._context.folder / FILE_NAME, msgspec.json.encode(kept))
            self._written = kept
        except OSError:
            self._context.log.error("names not kept", exc_info=True)  # retried at the next change

    def _collect(self) -> _Kept:
        settings = self._context.settings
        used = self._service_queues()
        used |= {settings.queues.all[job.queue] for job in self._context.jobs.live.values()}
        queues = {
            name: settings.queues_by_index[settings.queues.index(name)]
            for name in _select_names(settings.queues, used, self._own_queues)
        }
        used = self._node_kinds() | {queue.kind for queue in queues.values()}
        kinds = {
            name: settings.kinds_by_index[settings.kinds.index(name)]
            for name in _select_names(settings.kinds, used, self._own_kinds)
        }
        return _Kept(queues, kinds)


def _select_names(table: NameTable, used: set[str], own: set[str]) -> list[str]:
    return [name for name in table.all if name not in own and (table.is_open(name) or name in used)]
