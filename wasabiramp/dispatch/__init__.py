"""Requests to executors."""
