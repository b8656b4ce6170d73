#!/usr/bin/env bash
# One server answers one request with a body without end, in small chunks.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
export PYTHONPATH="$root/target/deps:$root/tests:$root/review/lib"
python3 -c "import harness" || exit 2
exec python3 "$here/case.py"
