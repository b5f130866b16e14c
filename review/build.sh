#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain Python files that need only the interpreter.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q -f support [0-9]
