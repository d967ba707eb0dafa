"""Runs pytest and behave; fails on any failure that is not listed in KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "build" / "results"
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"


def load_known_failures() -> set[str]:
    """Return the names of known failures: the lines of KNOWN-RED.txt that start with `test:`."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_tool(command: list[str]) -> int:
    """Run a test tool in the root of the repository and return its exit code."""
    return subprocess.run([sys.executable, "-m", *command], cwd=ROOT, check=False).returncode


def read_results(folder: Path) -> tuple[list[str], list[str]]:
    """Return the names of passed and of failed or skipped tests, from JUnit XML reports."""
    passed, failed = [], []
    for path in sorted(folder.rglob("*.xml")):
        for case in ElementTree.parse(path).getroot().iter("testcase"):
            name = f"{case.get('classname')}.{case.get('name')}"
            is_failure = any(case.find(tag) is not None for tag in ("failure", "error", "skipped"))
            (failed if is_failure else passed).append(name)
    return passed, failed


def main() -> int:
    """Run all tests and return the exit code; 1 on unexpected failures, a crash or no results."""
    subprocess.run(["rm", "-rf", str(RESULTS)], check=True)
    RESULTS.mkdir(parents=True)
    exit_codes = [
        run_tool(["pytest", "-q", f"--junitxml={RESULTS}/pytest.xml"]),
        run_tool(["behave", "--junit", f"--junit-directory={RESULTS}/behave", "--format=progress"]),
    ]
    passed, failed = read_results(RESULTS)
    known = load_known_failures()
    for name in failed:
        print(f"known red: {name}" if name in known else f"FAILED: {name}")
    unexpected = [name for name in failed if name not in known]
    crashed = any(code not in (0, 1) for code in exit_codes)
    has_unreported_failure = any(exit_codes) and not failed
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if unexpected or crashed or has_unreported_failure or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
