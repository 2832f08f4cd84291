"""Compiles the package and its dependencies under target/pycache, so that starting is light."""

import compileall
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.pycache_prefix = str(ROOT / "target" / "pycache")

if __name__ == "__main__":
    whole = all(compileall.compile_dir(ROOT / name, quiet=1) for name in ("tealhook", "target/deps"))
    raise SystemExit(0 if whole else 1)
