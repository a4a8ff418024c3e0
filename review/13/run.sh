#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/stand3/bin/stand3 ] && [ -x target/parsleyproxy ] || exit 2
exec review/stand3/bin/stand3 seal review/13
