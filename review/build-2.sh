#!/usr/bin/env bash
# Builds the stand-in of the second review's cases into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/review_standin \
  review/common-2/tests/*.cc -lboost_json
