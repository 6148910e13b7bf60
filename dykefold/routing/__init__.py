"""Which service a request belongs to."""
