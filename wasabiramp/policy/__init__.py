"""Registries of policies by class of work."""
