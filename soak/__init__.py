"""A randomized soak test of real daemon processes with faults injected from outside."""
