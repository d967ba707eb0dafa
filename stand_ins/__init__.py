"""Stand-ins for the platform's services, with faults that tests set while they run.

All modules except `platform` import nothing from wasabiramp.
"""
