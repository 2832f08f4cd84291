"""tealhook: a cluster scheduler whose placement learns from actual finishes."""

__version__ = "0.1.0"
