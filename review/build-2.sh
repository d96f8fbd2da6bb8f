#!/bin/sh
# Builds the cases 4 to 8 with their stand-ins into target/review-2. Needs a C++20 compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*_case.cpp; do
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
