"""Tests, beside the package."""
