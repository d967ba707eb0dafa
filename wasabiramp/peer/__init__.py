"""Messages and streams between daemons."""
