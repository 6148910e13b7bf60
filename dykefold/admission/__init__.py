"""Connection admission: which connection is let in, kept and let go, and what descriptors are for."""
