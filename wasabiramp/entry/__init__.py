"""What an entry instance does: membership, admission, and owning a placement domain."""
