"""Laboratory: an emulated parts platform on loopback, an open-loop load generator, and the judge of a run."""
