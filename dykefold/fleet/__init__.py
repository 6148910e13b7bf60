"""The membership of the sidecars: which are live, and the records that they publish to each other.

`agent.py`, `admin.py`, `balancer_link.py` and `endpoint_list_sync.py` run in an event loop; everything else
is free of I/O: times and a seeded random generator come in, datagrams go out. See docs/design/view.md.
"""
