"""Small stand-ins of the platform, with switchable faults; they import nothing of the product."""
