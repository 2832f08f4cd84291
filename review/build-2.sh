#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, which are Python and need nothing but the standard library: it checks that
# each of their files compiles. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
[ -d ../target/deps/msgspec ] || { echo "run the build of the deploy file first" >&2; exit 1; }
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted([*Path("harness-2").glob("*.py"), *Path(".").glob("[4-8]/*.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
PYTHON
