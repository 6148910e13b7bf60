"""Strict lint and types: each file is clean, or `strict-debt.json` lists its known findings.

Fails for a finding that is not listed, and for a listed one that has been fixed. `--write` updates the list
to the present findings, and refuses to raise their total.
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
    """Return the standard output of a tool; exit if its exit code is not 0 (clean) or 1 (findings)."""
    result = subprocess.run([BIN / command[0], *command[1:]], cwd=ROOT, capture_output=True, text=True)
    if result.returncode not in (0, 1):
        sys.exit(f"{' '.join(command)} failed with {result.returncode}:\n{result.stdout}{result.stderr}")
    return result.stdout


def measure() -> Debt:
    """Return the number of findings by file and code."""
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
    """Return the total number of findings."""
    return sum(sum(counts.values()) for counts in debt.values())


def differences(now: Debt, listed: Debt) -> list[str]:
    """Return a line for each code with more findings than listed, or fewer."""
    lines = []
    for path in sorted(now.keys() | listed.keys()):
        found_counts, listed_counts = now.get(path, {}), listed.get(path, {})
        for code in sorted(found_counts.keys() | listed_counts.keys()):
            count, allowed = found_counts.get(code, 0), listed_counts.get(code, 0)
            if count > allowed:
                lines.append(f"{path}: {code}: {count} findings, {allowed} listed")
            elif count < allowed:
                lines.append(f"{path}: {code}: {allowed} listed, {count} found: run .ci/strict.py --write")
    return lines


def main() -> None:
    """Check the findings, or update the list."""
    now = measure()
    listed: Debt = json.loads(DEBT_FILE.read_text()) if DEBT_FILE.exists() else now
    if "--write" in sys.argv[1:]:
        if total(now) > total(listed):
            sys.exit(f"{total(now)} findings, {total(listed)} listed: the total must not grow")
        DEBT_FILE.write_text(json.dumps(now, indent=1) + "\n")
    elif lines := differences(now, listed):
        sys.exit("\n".join(lines))
    print(f"strict: {len(now)} files are not clean yet, {total(now)} findings")


if __name__ == "__main__":
    main()
