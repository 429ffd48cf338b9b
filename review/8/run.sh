#!/usr/bin/env bash
# See claim.txt. 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
number=8
. "$(dirname "$0")/../common-2/run.sh"
