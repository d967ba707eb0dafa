"""Messages between daemons, and the gRPC streams that carry them."""
