"""Strict lint and types: every file is clean, or listed in `strict-debt.json` with what it still lacks.

Checks that nothing in the list grows and that what has been mended is taken off it; a file that is not on
the list has to be clean. `--write` lowers the list to what there is, and refuses to raise its total.
"""

import json
import re
import subprocess
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parent.parent
BIN = ROOT / ".venv" / "bin"
DEBT_FILE = ROOT / ".ci" / "strict-debt.json"
MYPY_ERROR = re.compile(r"^(\S+?):\d+: error: .*\[([a-z-]+)\]$", re.M)

Debt = dict[str, dict[str, int]]


def run(*command: str) -> str:
    """The standard output of a tool that ends with 0 (clean) or 1 (findings)."""
    done = subprocess.run([BIN / command[0], *command[1:]], cwd=ROOT, capture_output=True, text=True)
    if done.returncode not in (0, 1):
        sys.exit(f"{' '.join(command)} failed with {done.returncode}:\n{done.stdout}{done.stderr}")
    return done.stdout


def measure() -> Debt:
    """Findings by file and code."""
    found: dict[str, Counter[str]] = {}
    for finding in json.loads(
        run("ruff", "check", "--config", "ruff-strict.toml", "--output-format", "json", ".")
    ):
        path = str(Path(finding["filename"]).relative_to(ROOT))
        found.setdefault(path, Counter())[finding["code"]] += 1
    for path, code in MYPY_ERROR.findall(run("mypy", "--strict", "--no-error-summary", "dykefold")):
        found.setdefault(path, Counter())[f"mypy {code}"] += 1
    return {path: dict(sorted(counts.items())) for path, counts in sorted(found.items())}


def total(debt: Debt) -> int:
    """All findings."""
    return sum(sum(counts.values()) for counts in debt.values())


def differences(now: Debt, listed: Debt) -> list[str]:
    """What is worse than listed, and what is listed though it has been mended."""
    lines = []
    for path in sorted(now.keys() | listed.keys()):
        mine, known = now.get(path, {}), listed.get(path, {})
        for code in sorted(mine.keys() | known.keys()):
            count, allowed = mine.get(code, 0), known.get(code, 0)
            if count > allowed:
                lines.append(f"{path}: {code}: {count} findings, {allowed} listed")
            elif count < allowed:
                lines.append(f"{path}: {code}: {allowed} listed, {count} left: run .ci/strict.py --write")
    return lines


def main() -> None:
    """Check, or write the list anew."""
    now = measure()
    listed: Debt = json.loads(DEBT_FILE.read_text()) if DEBT_FILE.exists() else now
    if "--write" in sys.argv[1:]:
        if total(now) > total(listed):
            sys.exit(f"{total(now)} findings, {total(listed)} listed: the list only shrinks")
        DEBT_FILE.write_text(json.dumps(now, indent=1) + "\n")
    elif lines := differences(now, listed):
        sys.exit("\n".join(lines))
    print(f"strict: {len(now)} files are not clean yet, {total(now)} findings")


if __name__ == "__main__":
    main()
