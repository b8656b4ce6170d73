"""The adapter to the users' platform: its names, formats and calls.

Nothing in here decides. Each module turns what the platform says into the project's own
types, and back; no other part of the package knows a name of the platform's.
"""
