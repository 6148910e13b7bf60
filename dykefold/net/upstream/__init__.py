"""Connections to endpoints: pooling, exchanges, classification of what came back."""
