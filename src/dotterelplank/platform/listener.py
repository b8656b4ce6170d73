"""Opens the callers' listener before the rest of the program is loaded.

Loading takes some hundred milliseconds on a small host. Callers that connect meanwhile
wait in the listener's backlog, where without a listener they would be refused. For this
reason the module imports nothing of the package but the reading of the settings file.
"""

import json
import socket
import typing as t

from ..errors import SettingsError
from . import settings_file

LISTEN_BACKLOG: t.Final = 512
_FAULTS: t.Final = (
    SettingsError,
    ArithmeticError,
    AttributeError,
    LookupError,
    OSError,
    TypeError,
    ValueError,
)
"""What settings that weren't validated, or an address in use, may raise."""


def open_early() -> socket.socket | None:
    """Return the callers' listener, or ``None`` if there is none to be opened yet.

    A fault isn't reported here: the process reports it when it validates its settings,
    or when it opens the listener itself.
    """
    try:
        address = json.loads(settings_file.read())["listen"]["frontend"]
        ip, _, port = address.rpartition(":")
        return socket.create_server((ip, int(port)), backlog=LISTEN_BACKLOG)
    except _FAULTS:
        return None
