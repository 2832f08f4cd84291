"""Build step that compiles the package and its dependencies into target/pycache, for a fast start."""

import compileall
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.pycache_prefix = str(ROOT / "target" / "pycache")

if __name__ == "__main__":
    is_complete = all(compileall.compile_dir(ROOT / name, quiet=1) for name in ("tealhook", "target/deps"))
    raise SystemExit(0 if is_complete else 1)
