"""Run one process of the system, as started by the platform."""

import sys

from . import listener


def main() -> int:
    """Open the callers' listener, then load and run the rest of the program."""
    early_listener = listener.open_early()
    from . import process

    return process.run(early_listener)


if __name__ == "__main__":
    sys.exit(main())
