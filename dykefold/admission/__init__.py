"""Connection admission: which clients are admitted, kept and evicted, and who uses descriptors."""
