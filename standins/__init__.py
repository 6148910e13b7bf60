"""Scripted peers that tests, benchmarks and demonstrations share; the package never imports them."""
