"""Failover between zones: the sidecars of a zone that fails work in other zones; see docs/design/failover.md.

`controller.py` runs in an event loop; everything else is free of I/O.
"""
