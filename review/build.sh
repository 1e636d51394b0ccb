#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -I standin -o "bin/case-$(dirname "$source")" "$source"
done
