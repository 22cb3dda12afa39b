"""Benches in virtual time and on loopback, each with a seed."""
