#!/usr/bin/env bash
# The only key of the only tenant is withdrawn.
# Usage: [TROUBLE=0] review/12/run.sh, after the build of the deploy file and
# review/build-3.sh.
exec "$(dirname "$0")/../standins-3/run_case.sh" 12 last_tenant
