#!/usr/bin/env bash
# Compiles the programs of the second review, review/[0-9]*/play.cpp, into review/bin as play-N. The stand-ins are in
# review/standin-2. Needs a C++20 compiler and rapidjson-dev, as the build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/play.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -I. "$source" -o "bin/play-${source%%/*}"
done
