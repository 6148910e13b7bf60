"""Connections to endpoints: pooling, exchanges and classification of responses."""
