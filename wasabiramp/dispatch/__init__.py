"""Dispatch of interactive requests to executors."""
