"""Failover between zones: when the endpoints of a zone fail, its sidecars send their requests to other zones.

See docs/design/failover.md.

`controller.py` runs in an event loop; the other modules do no I/O.
"""
