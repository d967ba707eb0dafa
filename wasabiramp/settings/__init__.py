"""The daemon's settings file."""
