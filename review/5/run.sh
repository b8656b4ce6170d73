#!/usr/bin/env bash
# A part of a long prompt crashes each server that begins to write an answer on it.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
export PYTHONPATH="$root/target/deps:$root/tests:$root/review/lib"
python3 -c "import harness" || exit 2
exec python3 "$here/case.py"
