"""Stand-ins for the platform's services, with faults that tests switch on and off.

All modules except `platform` import nothing from wasabiramp.
"""
