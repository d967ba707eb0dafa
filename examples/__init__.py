"""Example cells to start from the command line."""
