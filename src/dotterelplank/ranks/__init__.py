"""The agent beside a rank of an expert-parallel group."""
