"""The scheduler of a placement domain: jobs of steps, executors, and who runs what."""
