#!/usr/bin/env bash
# A part of a long prompt crashes each server that begins to write an answer on it.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
PYTHONPATH="$root/target/deps:$root/tests:$root/review/lib" exec python3 "$here/case.py"
