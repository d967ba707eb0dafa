"""Member list, the right to act, heartbeats, ownership of targets and graceful shutdown."""
