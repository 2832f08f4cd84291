"""Entry point to run tealhook from a checkout: `run.py --config FILE` means `run.py serve --config FILE`."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.pycache_prefix = str(ROOT / "target" / "pycache")  # The build fills this directory; it is read-only afterwards.
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from tealhook.cli import main  # noqa: E402

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if not arguments or arguments[0].startswith("-") and arguments[0] not in ("-h", "--help", "--version"):
        arguments = ["serve", *arguments]
    raise SystemExit(main(arguments))
