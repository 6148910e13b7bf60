"""An emulated parts platform on real sockets, which records every attempt that reaches its servers."""
