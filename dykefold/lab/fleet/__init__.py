"""Test rig of real sidecar processes, connected by a network into which faults are injected.

Clients, servers, the discovery service and the network run in one process, so that one clock orders all
events.
"""
