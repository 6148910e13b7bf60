"""Error numbers of accept(2), grouped by how the listener reacts to them."""

from __future__ import annotations

import errno

# The process or the system is out of descriptors or memory: one must be released before accept can succeed.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

# Errors of a single connection or of the call itself: the next connection is accepted at once.
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
