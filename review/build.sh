#!/bin/bash
# Builds the stand-ins of the review's scripts into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread standins/*.cpp -o bin/review-case
