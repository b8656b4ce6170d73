"""Run the command line with ``python -m dotterelplank``."""

from .cli import app

app()
