"""The real network code on a virtual clock and network, with seeded faults and the four rules watched."""
