"""A simulated platform on a virtual clock that runs complete entry daemons in one process."""
