"""Tests of the simulated platform for entry daemons."""
