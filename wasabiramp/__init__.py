"""wasabiramp schedules services, batch runs and all-or-nothing jobs in one cell."""
