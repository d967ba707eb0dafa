"""Members, rights to act, heartbeats and handover."""
