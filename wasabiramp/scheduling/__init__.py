"""Scheduler of a placement domain: assigns the tasks of jobs to executors."""
