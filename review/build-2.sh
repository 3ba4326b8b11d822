#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 4 to 8 of this review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/Case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/4 -o "target/review-2/case-$name" "$source" review/4/StandIns.cpp -lcrypto
done
