"""The endpoint list: its codec and the calls that watch it."""
