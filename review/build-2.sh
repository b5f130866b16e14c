#!/usr/bin/env bash
# Checks the stand-ins that the scripts of review/6 and later start, after the deploy file's build.
# They are Python modules that need only the libraries in target/deps; there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - <<'PYTHON'
import sys

sys.path.insert(0, "review/support-2")
import harness

assert harness.KeyOwner and harness.MetadataServer
PYTHON
echo "the stand-ins are complete"
