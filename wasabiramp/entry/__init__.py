"""The entry daemon: membership, admission of jobs, and ownership of a placement domain."""
