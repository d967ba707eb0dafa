"""Tests of the command line and of cells in one process."""
