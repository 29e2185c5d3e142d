#!/usr/bin/env bash
# Answers of the store are lost while two instances start.
# Usage: [TROUBLE=0] review/13/run.sh, after the build of the deploy file and
# review/build-3.sh.
exec "$(dirname "$0")/../standins-3/run_case.sh" 13 lapsed_registrations
