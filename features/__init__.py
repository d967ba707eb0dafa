"""Behave scenarios."""
