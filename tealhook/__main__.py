"""The entry point of `python -m tealhook`."""

from tealhook.cli import main

if __name__ == "__main__":
    raise SystemExit(main())
