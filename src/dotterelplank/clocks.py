"""The clocks of the I/O code; decision functions get the time as a parameter."""

import time


def monotonic_ms() -> float:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


def boottime_ms() -> float:
    """Return the milliseconds since the host's start, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
