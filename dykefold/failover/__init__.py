"""Failover between zones, decided in common; see docs/design/failover.md."""
