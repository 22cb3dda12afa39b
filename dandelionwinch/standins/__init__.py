"""Small stand-ins of the systems outside, for demos and tests."""
