"""A controller's context for tests of single components."""

from __future__ import annotations

from typing import Any

from tealhook.context import NodeContext, PolicyValues
from tealhook.settings import Settings, load_policy
from tealhook.settings.platform import parse_settings
from tests.simulation.settings import settings_text


def make_context(effects: Any, settings: Settings | None = None, incarnation: int = 7) -> NodeContext:
    """Return a context that knows no machine types; `settings` defaults to those of the first of three nodes."""
    settings = settings or parse_settings("settings.toml", settings_text(0, 3))
    return NodeContext(effects, settings, PolicyValues(load_policy(None), settings, {}), incarnation)
