"""One balanced service: its endpoints, pending requests and attempts."""
