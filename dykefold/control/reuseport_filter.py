"""Selects which of several listeners at one address gets new connections.

Listeners that share an address (SO_REUSEPORT, socket(7)) are given new connections by a hash; a classic
filter on the group selects one of them instead (SO_ATTACH_REUSEPORT_CBPF, Linux 4.5, no privileges): what it
returns is the listener's index in the group (`reuseport_group`). An index that is too large, as after a
listener has closed, means the hash again. So a newer process takes all new connections, and the older one
only has to accept what stands in its own queue before it closes.
"""

from __future__ import annotations

import ctypes
import errno
import socket
import struct

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h; the socket module has no name for these
SO_DETACH_REUSEPORT_BPF = 68  # Linux 5.3
RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, linux/bpf_common.h


def select_listener(sock: socket.socket, index: int) -> None:
    """Have new connections of a reuseport group come to one listener.

    Args:
        sock: any listener of the group.
        index: of the listener that gets them.

    Raises:
        OSError: the kernel refused the filter.
    """
    # struct sock_filter: code, two jumps, a constant. struct sock_fprog: how many of these, and where.
    code = ctypes.create_string_buffer(struct.pack("=HBBI", RETURN_CONSTANT, 0, 0, index))
    program = struct.pack("@HP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


def select_by_hash(sock: socket.socket) -> None:
    """Have new connections of a reuseport group come to its listeners by the hash.

    Args:
        sock: any listener of the group.

    Raises:
        OSError: the kernel did not remove the filter.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError as error:
        if error.errno != errno.ENOENT:  # there was no filter
            raise
