#!/usr/bin/env bash
# Runs a case five times with its disruption and once without: five.sh N
cd "$(dirname "$0")/$1" || exit 2
TROUBLE=0 ./run.sh; echo "TROUBLE=0: exit $?"
for n in 1 2 3 4 5; do ./run.sh; echo "run $n: exit $?"; done
