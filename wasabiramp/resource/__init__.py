"""Resources that operators declare, and their replication between daemons."""
