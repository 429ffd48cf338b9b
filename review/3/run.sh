#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the crash.
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.." || exit 2
[ -x "target/review/case$number" ] && [ -x target/bankhill ] || { echo "build first: deploy file, then review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
BANKHILL_RUN=$(sed -n 's/^run *= *"\(.*\)"/\1/p' deploy/service.toml)
export BANKHILL_RUN
timeout -k 2 118 "target/review/case$number" "$folder" "$here/record.txt" "${TROUBLE:-1}"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
