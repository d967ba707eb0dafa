"""Jobs, their tasks, workers, journal and request keys."""
