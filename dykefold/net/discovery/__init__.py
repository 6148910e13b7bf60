"""Endpoint list: its codec, and the calls of discovery that watch it."""
