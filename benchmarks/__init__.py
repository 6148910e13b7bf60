"""Measurements side by side in one run; none is a test."""
