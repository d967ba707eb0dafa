"""Adapter to the users' platform; no other package knows its paths and field names."""
