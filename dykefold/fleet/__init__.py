"""The membership of the sidecars: SWIM with Lifeguard, and records that members publish by gossip.

`agent.py`, `admin.py`, `balancer_link.py` and `endpoint_list_sync.py` run in an event loop; all other modules
do no I/O: they are given times and a seeded random generator, and return datagrams to send.
See docs/design/view.md.
"""
