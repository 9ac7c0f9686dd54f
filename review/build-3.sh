#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3/, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o build/review-3/review_case review/common-3/*.cc
