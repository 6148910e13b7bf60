"""The real sidecar's sockets round the decision module."""
