#!/bin/sh
# Builds the stand-ins and the cases into target/review. Needs a C++20 compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in runner heartbeat_case stream_case version_case denied_case; do
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "review/standins/$name.cpp" -o "target/review/$name"
done
