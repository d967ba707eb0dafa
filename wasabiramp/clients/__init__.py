"""Clients of the store, executors, workers and instance list, as simulated by `stand_ins`."""
