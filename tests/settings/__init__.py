"""Tests of the daemon's settings."""
