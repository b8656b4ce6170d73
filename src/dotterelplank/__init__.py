"""Load balancer for expert-parallel model groups."""

import logging

logging.getLogger(__name__).addHandler(logging.NullHandler())
