"""A compiled copy of the program, so that a rig of many processes does not compile it once for each."""

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
    """Copy the program of a checkout and compile it, once for each checkout in the life of this process.

    Where Python is told to write no bytecode, each start compiles all of the program, which is nearly half of
    the work of a start; an installed program does not do that. The checkout itself stays as it is.

    Args:
        tree: the checkout; changes made to it later are not seen.

    Returns:
        A folder with the package alone, which is removed when this process ends.

    Raises:
        OSError: the checkout has no program, or it can't be copied.
    """
    folder = Path(tempfile.mkdtemp(prefix="compiled-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    shutil.copytree(tree / PACKAGE, folder / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    compileall.compile_dir(folder / PACKAGE, quiet=1)
    return folder
