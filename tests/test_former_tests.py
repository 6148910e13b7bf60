"""Checks that no test was lost when files and names changed; former_tests.toml lists the former names."""

import re
import tomllib
from collections import Counter
from pathlib import Path

HERE = Path(__file__).parent
FORMER = tomllib.loads((HERE / "former_tests.toml").read_text())
TEST = re.compile(r"^ *(?:async )?def (test_\w+)", re.M)


def test_every_test_that_stood_before_still_stands():
    now = Counter(name for path in HERE.rglob("test_*.py") for name in TEST.findall(path.read_text()))
    wanted = Counter()
    for name, count in FORMER["names"].items():
        wanted[FORMER["renamed"].get(name, name)] += count
    assert not wanted - now
