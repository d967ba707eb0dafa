"""A randomized soak of real daemon processes, with faults injected from outside them."""
