#!/usr/bin/env bash
# The store turns an owner of quotas away while tenants are added.
# Usage: [TROUBLE=0] review/13/run.sh, after the build of the deploy file and
# review/build-3.sh.
exec "$(dirname "$0")/../standins-3/run_case.sh" 13 unknown_tenant
