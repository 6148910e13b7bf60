"""Which of several listeners at one address new connections come to.

Listeners that share an address (SO_REUSEPORT, socket(7)) are given new connections by a hash; a classic
filter on the group picks one of them instead (SO_ATTACH_REUSEPORT_CBPF, Linux 4.5, no privileges): what it
returns is the place in the group (`places`). A number that is too large, as after one has closed, means the
hash again. So a newer process takes all that is new, and the older one only
has to accept what stands in its own queue before it closes.
"""

from __future__ import annotations

import ctypes
import errno
import socket
import struct

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h; the socket module has no name for these
SO_DETACH_REUSEPORT_BPF = 68  # Linux 5.3
RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, linux/bpf_common.h


def steer(sock: socket.socket, place: int) -> None:
    """Have new connections of a group come to the listener at this place. Raises OSError if it can't be."""
    # struct sock_filter: code, two jumps, a constant. struct sock_fprog: how many of these, and where.
    code = ctypes.create_string_buffer(struct.pack("=HBBI", RETURN_CONSTANT, 0, 0, place))
    program = struct.pack("@HP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


def let_chance(sock: socket.socket) -> None:
    """Have new connections of a group come to its listeners by the hash. Raises OSError if it can't be."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError as error:
        if error.errno != errno.ENOENT:  # there was no filter
            raise
