"""The operators' side of a sidecar in service: the door, maintenance of servers, new settings, upgrades."""
