#!/usr/bin/env bash
# The store turns an instance away while a key goes to another tenant.
# Usage: [TROUBLE=0] review/14/run.sh, after the build of the deploy file and
# review/build-3.sh.
exec "$(dirname "$0")/../standins-3/run_case.sh" 14 withdrawn_key
