"""Model checker: runs many reducers on a simulated network and clock, and checks guarantees."""
