#!/usr/bin/env bash
# Usage: run_case.sh CASE PROGRAM. Runs the program of review/CASE, which writes
# record.txt there. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/apps/cowslipline-edge "target/review-3/$2"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing" >&2
    exit 2
  fi
done
temporary="$(mktemp -d)"
"target/review-3/$2" "review/$1" "$temporary" &
case_pid=$!
# The program's own processes end with it.
trap 'kill "$case_pid" 2>/dev/null; rm -rf "$temporary"; exit 2' INT TERM
wait "$case_pid"
code=$?
rm -rf "$temporary"
[ "$code" -le 1 ] || code=2
exit "$code"
