"""The rig's processes start from a compiled copy of the program."""

import os
import sys
from pathlib import Path

import pytest
from net_helpers import async_test

from dykefold.lab.fleet.compiled_tree import compiled_tree
from dykefold.lab.fleet.process import OWN_TREE
from dykefold.lab.fleet.upgrades import hot_restart_rig


def test_the_copy_is_made_once_with_the_same_sources_and_bytecode_for_each():
    copy = compiled_tree(OWN_TREE)
    assert compiled_tree(OWN_TREE) is copy
    sources = {path.relative_to(copy) for path in copy.rglob("*.py")}
    assert sources == {path.relative_to(OWN_TREE) for path in (OWN_TREE / "dykefold").rglob("*.py")}
    for source in sources:
        assert (copy / source).read_bytes() == (OWN_TREE / source).read_bytes()
        bytecode = copy / source.parent / "__pycache__" / f"{source.stem}.{sys.implementation.cache_tag}.pyc"
        assert bytecode.exists()


def test_a_checkout_with_no_program_is_an_error(tmp_path):
    with pytest.raises(OSError, match="dykefold"):
        compiled_tree(tmp_path)


def working_folder(pid):
    return Path(f"/proc/{pid}/cwd").resolve()


@pytest.mark.processes
@async_test
async def test_a_member_runs_the_copy_at_the_rig_s_own_priority(tmp_path):
    async with hot_restart_rig(tmp_path) as one:
        pid = one.member.living[-1].pid
        assert working_folder(pid) == compiled_tree(OWN_TREE).resolve()
        assert os.getpriority(os.PRIO_PROCESS, pid) == os.getpriority(os.PRIO_PROCESS, 0)
