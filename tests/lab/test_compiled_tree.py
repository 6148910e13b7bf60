"""The rig's processes start from a compiled copy of the program, so that their starts do not compile it."""

import os
import sys
from pathlib import Path

import pytest
from net_helpers import async_test

from dykefold.lab.fleet.compiled_tree import compiled_tree
from dykefold.lab.fleet.process import OWN_TREE
from dykefold.lab.fleet.upgrades import hot_restart_rig


def test_copy_is_made_once_and_has_bytecode_for_each_source():
    copy = compiled_tree(OWN_TREE)
    assert compiled_tree(OWN_TREE) is copy
    sources = {path.relative_to(copy) for path in copy.rglob("*.py")}
    assert sources == {path.relative_to(OWN_TREE) for path in (OWN_TREE / "dykefold").rglob("*.py")}
    for source in sources:
        assert (copy / source).read_bytes() == (OWN_TREE / source).read_bytes()
        bytecode = copy / source.parent / "__pycache__" / f"{source.stem}.{sys.implementation.cache_tag}.pyc"
        assert bytecode.exists()


def test_checkout_without_program_raises_error(tmp_path):
    with pytest.raises(OSError, match="dykefold"):
        compiled_tree(tmp_path)


def working_folder(pid):
    return Path(f"/proc/{pid}/cwd").resolve()


@pytest.mark.processes
@async_test
async def test_member_runs_compiled_copy_at_priority_of_rig(tmp_path):
    async with hot_restart_rig(tmp_path) as rig:
        pid = rig.member.living[-1].pid
        assert working_folder(pid) == compiled_tree(OWN_TREE).resolve()
        assert os.getpriority(os.PRIO_PROCESS, pid) == os.getpriority(os.PRIO_PROCESS, 0)
