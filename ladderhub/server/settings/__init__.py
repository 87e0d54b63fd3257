"""Settings of the daemon: a Jsonnet file, evaluated and checked before anything starts.

Durations are written with a unit (`"800ms"`, `"6s"`, `"1m"`), memory as in the batch interface (`"64gb"`).
Every fault is a `SettingsError`: the file, the path of the field, the value found and what is expected.

`schema` defines the fields as written, `checks` and `ranges` check them, `names` assigns indexes to names,
`decision_settings` and `peers` convert the settings for their users, `policy` encodes the part that all
schedulers of a fleet share, and `loaded` combines all of these.
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
