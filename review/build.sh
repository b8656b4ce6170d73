#!/usr/bin/env bash
# Builds the stand-ins of the cases: those in review/lib and the project's own store stand-in.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib tests/platform_standin.py
PYTHONPATH=target/deps:tests:review/lib python3 -c "import harness, platform_standin"
