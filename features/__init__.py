"""Scenarios."""
