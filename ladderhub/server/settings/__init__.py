"""Settings of the daemon: a Jsonnet file, evaluated and checked before anything starts.

Spans are written with a unit (`"800ms"`, `"6s"`, `"1m"`), memory as the batch interface has it (`"64gb"`).
Every fault is one `SettingsError`: the file, the path of the field, what was found and what was meant.

`schema` has the fields as they are written, `checks` and `ranges` the checks of them, `names` what has an
index, `terms` and `peers` the settings of those who use them, `policy` the part that a fleet has in common as
bytes, and `loaded` all of it together.
"""

from ladderhub.server.settings.checks import SettingsError, parse_duration_ns, parse_setting_address
from ladderhub.server.settings.loaded import LoadedSettings, check, evaluate, load
from ladderhub.server.settings.names import NameTable
from ladderhub.server.settings.peers import PeerSettings
from ladderhub.server.settings.policy import diff_policies, encode_policy

__all__ = [
    "LoadedSettings",
    "NameTable",
    "PeerSettings",
    "SettingsError",
    "check",
    "diff_policies",
    "encode_policy",
    "evaluate",
    "load",
    "parse_duration_ns",
    "parse_setting_address",
]
