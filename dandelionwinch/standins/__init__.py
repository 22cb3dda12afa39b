"""Stand-ins of external systems, for demos and tests."""
