"""Benchmarks of the system against baselines and targets."""
