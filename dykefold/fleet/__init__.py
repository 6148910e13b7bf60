"""The view of the fleet that sidecars keep themselves: who is there, and what they tell one another.

Everything but `edge.py` is free of I/O: times and a seeded random source come in, datagrams go out.
See docs/design/view.md.
"""
