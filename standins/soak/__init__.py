"""Fault soak: seeded runs of real sidecar processes against slow, stuck and greedy peers, with a judge."""
