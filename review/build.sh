#!/usr/bin/env bash
# Builds the stand-ins that the cases start: it compiles the shared modules, so that an error shows here.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
PYTHONPYCACHEPREFIX=../target/review python3 -m compileall -q harness 1 2 $([ -d 3 ] && echo 3)
