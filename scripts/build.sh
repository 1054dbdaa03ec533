#!/usr/bin/env bash
# Installs missing build dependencies from Debian packages and builds the project.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(libboost1.81-dev libabsl-dev liblog4cplus-dev libcriterion-dev nlohmann-json3-dev libsimdjson-dev libtomlplusplus-dev libzstd-dev
    pkg-config ninja-build cmake g++ python3 clang-format clang-tidy)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
fi
cmake -S . -B build -G Ninja >build.log 2>&1 || { cat build.log; exit 1; }
cmake --build build >>build.log 2>&1 || { tail -n 100 build.log; exit 1; }
