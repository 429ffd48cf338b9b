# Sourced by the run.sh of a case, with `number` set: runs its stand-ins, which start the controllers by the
# command of the deploy file (target/bankhill --config FILE) and end them.
set -u
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
here=$top/review/$number
program=$top/target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x "$top/target/bankhill" ]; then
  echo "not built: run the build of the deploy file and review/build-2.sh"
  exit 2
fi
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER BANKHILL="$top/target/bankhill" TROUBLE="${TROUBLE:-1}" LOG_LEVEL="${LOG_LEVEL:-info}"
child=
finish() {
  [ -z "$child" ] || kill "$child" 2>/dev/null
  [ -z "${KEEP_LOGS:-}" ] || cp "$REVIEW_FOLDER"/*.log "$KEEP_LOGS"/ 2>/dev/null
  rm -rf "$REVIEW_FOLDER"
}
trap finish EXIT
"$program" "${RECORD:-$here/record.txt}" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
