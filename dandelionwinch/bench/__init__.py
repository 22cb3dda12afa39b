"""Benchmarks in virtual time or on loopback, random ones with a seed."""
