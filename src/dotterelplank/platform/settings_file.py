"""Reads the settings file that the platform writes for each process."""

import os
import pathlib

from ..errors import SettingsError

PATH_VARIABLE = "DOTTERELPLANK_NODE_FILE"


def read() -> bytes:
    """Return the content of the settings file of this process.

    :raises SettingsError: if there is no file, or it can't be read.
    """
    name = os.environ.get(PATH_VARIABLE)
    if name is None:
        raise SettingsError(PATH_VARIABLE, "no value", "the path of the settings file")
    try:
        return pathlib.Path(name).read_bytes()
    except OSError as error:
        raise SettingsError(name, str(error), "a readable file") from error
