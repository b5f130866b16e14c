"""Runs the formatter, the linter and the behave features, and prints a summary line."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = ROOT / ".venv" / "bin"
CODE = ["foxtailshunt", "standins", "features", "scripts"]
CHECKS = [
    [str(BIN / "black"), "--check", "--quiet", *CODE],
    [str(BIN / "ruff"), "check", "--quiet", *CODE],
]
KNOWN_RED_TAG = "known_red"


def run_checks() -> int:
    """Run the formatter and the linter, and return the number of failed checks."""
    failed = 0
    for command in CHECKS:
        result = subprocess.run(command, cwd=ROOT, check=False)
        print(f"{Path(command[0]).name}: {'ok' if result.returncode == 0 else 'FAILED'}")
        failed += result.returncode != 0
    return failed


def run_features(arguments: list[str]) -> list[dict]:
    """Run behave and return its JSON report.

    :param arguments: additional arguments for behave, such as the features to run.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [str(BIN / "behave"), "--format", "json", "--outfile", report.name]
        command += ["--format", "progress"]
        command += ["--no-capture", *arguments]
        subprocess.run(command, cwd=ROOT, check=False)
        text = Path(report.name).read_text(encoding="utf-8")
    return json.loads(text) if text.strip() else []


def count_scenarios(report: list[dict]) -> tuple[int, int, int, list[str]]:
    """Count the scenarios of a report by status.

    :param report: JSON report of behave.
    :returns: the numbers of passed, failed and skipped scenarios, and the names of the scenarios
        that failed and are tagged as known to fail.
    """
    passed = failed = skipped = 0
    known_red: list[str] = []
    for feature in report:
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            status = scenario.get("status", "skipped")
            if status == "passed":
                passed += 1
            elif status in ("skipped", "untested"):
                skipped += 1
            elif KNOWN_RED_TAG in scenario["tags"] + feature.get("tags", []):
                known_red.append(f"{feature['name']}: {scenario['name']}")
            else:
                failed += 1
    return passed, failed, skipped, known_red


def describe_failures(report: list[dict]) -> list[str]:
    """Return the location, step and error of each failed step.

    :param report: JSON report of behave.
    """
    lines: list[str] = []
    for feature in report:
        for scenario in feature.get("elements", []):
            for step in scenario.get("steps", []):
                result = step.get("result", {})
                if result.get("status") in ("failed", "error", "undefined"):
                    error = result.get("error_message", "")
                    error = error if isinstance(error, str) else "\n".join(error)
                    lines.append(f"{scenario['location']}  {step['name']}\n{error}")
    return lines


def print_known_red() -> None:
    """Print the list of known failures."""
    path = ROOT / "KNOWN-RED.txt"
    if path.exists():
        print(f"known failures, not run here:\n{path.read_text(encoding='utf-8')}")


def main(arguments: list[str]) -> int:
    """Run all checks and features.

    :param arguments: additional arguments for behave.
    :returns: the exit code: 0 if nothing failed, otherwise 1.
    """
    check_failures = run_checks()
    report = run_features(arguments)
    passed, failed, skipped, known_red = count_scenarios(report)
    for line in describe_failures(report):
        print(f"failed: {line}")
    for name in known_red:
        print(f"known failure (KNOWN-RED.txt): {name}")
    passed += len(CHECKS) - check_failures
    failed += check_failures
    if not report:
        print("behave produced no report")
        failed += 1
    print_known_red()
    print(f"{passed} passed, {failed} failed, {skipped + len(known_red)} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
