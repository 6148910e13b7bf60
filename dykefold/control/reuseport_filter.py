"""Selects which of several listeners at one address gets new connections.

The kernel distributes new connections by a hash among listeners that share an address (SO_REUSEPORT,
socket(7)). A classic BPF filter on the group replaces the hash (SO_ATTACH_REUSEPORT_CBPF, Linux 4.5, no
privileges): its result is the index of a listener in the group (`reuseport_group`). For an index that is too
large, as after a listener has closed, the kernel uses the hash. So a newer process gets all new connections,
and the older one accepts only those in the queue of its own listener before it closes.
"""

from __future__ import annotations

import ctypes
import errno
import socket
import struct

# From asm-generic/socket.h, since the socket module has no names for these two.
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
# BPF_RET | BPF_K, from linux/bpf_common.h.
RETURN_CONSTANT = 0x06


def select_listener(sock: socket.socket, index: int) -> None:
    """Direct new connections of a reuseport group to one listener.

    Args:
        sock: Any listener of the group.
        index: Index of the selected listener in the group.

    Raises:
        OSError: The kernel refused the filter.
    """
    # struct sock_filter has a code, two jumps and a constant; struct sock_fprog has their count and address.
    code = ctypes.create_string_buffer(struct.pack("=HBBI", RETURN_CONSTANT, 0, 0, index))
    program = struct.pack("@HP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


def select_by_hash(sock: socket.socket) -> None:
    """Distribute new connections of a reuseport group among its listeners by the kernel's hash.

    Args:
        sock: Any listener of the group.

    Raises:
        OSError: The kernel did not remove the filter.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError as error:
        # ENOENT: there was no filter.
        if error.errno != errno.ENOENT:
            raise
