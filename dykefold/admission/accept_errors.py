"""The errors of accept(2), by what a listener does about them."""

from __future__ import annotations

import errno

# The process or the system lacks descriptors or memory: somebody else must give one back first.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

# Errors of the connection that was to be accepted, or of the call: the next one is accepted at once.
TRANSIENT = frozenset(
    (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    )
)
