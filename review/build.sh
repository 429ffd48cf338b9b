#!/bin/sh
# Builds the stand-ins and the cases into target/review, with the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]; do
  number=$(basename "$case")
  [ -f "$case/case.cpp" ] || continue
  echo "case $number"
  g++ -std=c++20 -O1 -Isrc -Ireview/common -DSPDLOG_COMPILED_LIB -DSPDLOG_SHARED_LIB -DSPDLOG_FMT_EXTERNAL \
    "$case/case.cpp" -o "target/review/case$number" \
    target/libbankhill_net.a target/libbankhill_wire.a target/libbankhill_runtime.a \
    -levent_core -levent_extra -lspdlog -lfmt
done
