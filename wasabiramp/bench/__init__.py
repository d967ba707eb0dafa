"""Measures of the system against baselines."""
