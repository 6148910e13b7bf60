"""The rig: sidecars as real processes, and between them and all others a network that breaks on purpose.

Desks, servers, discovery and the network are in one process, so that one clock tells what came first.
"""
