"""The clock of the shells; the functions that decide are told the time instead."""

import time


def monotonic_ms() -> float:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


def boottime_ms() -> float:
    """Return milliseconds since the start of the host, time in suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
