"""The operators' resources."""
