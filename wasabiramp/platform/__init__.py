"""The users' platform: everything that knows its words, paths and fields."""
