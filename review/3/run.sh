#!/usr/bin/env bash
# The store gives no response to a third of the entries while a server drains.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
export PYTHONPATH="$root/target/deps:$root/tests:$root/review/lib"
python3 -c "import harness" || exit 2
exec python3 "$here/case.py"
