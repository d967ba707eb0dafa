"""Stand-ins for the platform's services, with faults that tests set at run time.

All modules except `platform` import nothing from wasabiramp.
"""
