"""Benchmarks: figures that CI does not judge."""
