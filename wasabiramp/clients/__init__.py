"""Clients of the services that the stand-ins of this repository play."""
