#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
options=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand_ins)
pids=()
for source in review/stand_ins/*.cc review/[1-9]/case.cc; do
  [[ -e $source ]] || continue
  object=target/review/$(tr / - <<<"${source%.cc}").o
  g++ "${options[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for object in target/review/review-[1-9]-case.o; do
  number=${object#target/review/review-}
  g++ -pthread "$object" target/review/review-stand_ins-*.o -o "target/review/case${number%-case.o}"
done
