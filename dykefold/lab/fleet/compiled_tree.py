"""A compiled copy of the program, so that the processes of a rig do not each compile it."""

from __future__ import annotations

import atexit
import compileall
import functools
import shutil
import tempfile
from pathlib import Path

PACKAGE = "dykefold"


@functools.cache
def compiled_tree(tree: Path) -> Path:
    """Copy and compile the program of a checkout, once per checkout in this process.

    Where Python is configured to write no bytecode, each process start compiles the program, which is nearly
    half of the work of a start; an installed program does not compile. The checkout itself is not changed.

    Args:
        tree: Checkout; later changes to it are not copied.

    Returns:
        Folder with the package alone, removed when this process exits.

    Raises:
        OSError: The checkout has no program, or copying failed.
    """
    folder = Path(tempfile.mkdtemp(prefix="compiled-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    shutil.copytree(tree / PACKAGE, folder / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    compileall.compile_dir(folder / PACKAGE, quiet=1)
    return folder
