"""A model of the platform on a virtual clock, on which whole daemons run in one process."""
