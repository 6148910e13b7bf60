"""Connections of clients: requests are read from them, answers are written to them."""
