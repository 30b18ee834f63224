"""Soak test: inject faults into real router processes and check invariants."""
