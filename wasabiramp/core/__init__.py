"""Core of the daemon, free of input and output: records, events, effects and the reducer."""
