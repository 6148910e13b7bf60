"""Operation of a sidecar: admin API, maintenance, changes of settings, hot restarts."""
