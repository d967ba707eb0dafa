"""Jobs, their journal and their tasks."""
