"""Stand-ins of what the product meets: the platform, engines, ranks, services."""
