"""Connection admission: which clients are admitted, kept or evicted, and how descriptors are budgeted."""
