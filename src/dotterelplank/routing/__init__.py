"""Where a request may go, whether it is admitted, and whether it may be repeated."""
