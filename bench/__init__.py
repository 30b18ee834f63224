"""Benchmarks whose results are not checked in CI."""
