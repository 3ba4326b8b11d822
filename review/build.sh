#!/bin/bash
# Builds the stand-ins of the review's scripts into review/review-case. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
g++ -std=c++20 -O1 -Wall -Wextra -pthread ./*.cpp -o review-case
