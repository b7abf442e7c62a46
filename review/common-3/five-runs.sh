#!/usr/bin/env bash
# Runs the script of a case five times, and once without its disruption.
# Usage: review/common-3/five-runs.sh N
cd "$(dirname "$0")/../$1" || exit 2
for run in 1 2 3 4 5; do
  ./run.sh
  echo "run $run: exit $?"
done
TROUBLE=0 ./run.sh
echo "without the disruption: exit $?"
