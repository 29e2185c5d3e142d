#!/usr/bin/env bash
# A request crashes its targets; the instances are restarted one by one.
# Usage: [TROUBLE=0] review/14/run.sh, after the build of the deploy file and
# review/build-3.sh.
exec "$(dirname "$0")/../standins-3/run_case.sh" 14 forgotten_crashes
