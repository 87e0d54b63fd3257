"""Settings of the daemon: a Jsonnet file, evaluated and checked before anything starts.

Spans are written with a unit (`"800ms"`, `"6s"`, `"1m"`), memory as the batch interface has it (`"64gb"`).
Every fault is one `SettingsError`: the file, the path of the field, what was found and what was meant.

`schema` has the fields as they are written, `checks` and `ranges` the checks of them, `names` what has an
index, `terms` and `peers` the settings of those who use them, `policy` the part that a fleet has in common as
bytes, and `loaded` all of it together.
"""

from ladderhub.server.settings.checks import SettingsError, address_of, span_ns
from ladderhub.server.settings.loaded import Loaded, check, evaluate, load
from ladderhub.server.settings.names import NameTable
from ladderhub.server.settings.peers import PeerSettings
from ladderhub.server.settings.policy import policy_body, policy_difference

__all__ = [
    "Loaded",
    "NameTable",
    "PeerSettings",
    "SettingsError",
    "address_of",
    "check",
    "evaluate",
    "load",
    "policy_body",
    "policy_difference",
    "span_ns",
]
