"""Membership of the processes, failure detection and exchange of revisions."""
