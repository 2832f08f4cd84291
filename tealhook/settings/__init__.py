"""What operators set: the platform's file, and the policy with its checker."""

from tealhook.settings.platform import Settings, SettingsError, load_settings
from tealhook.settings.policy import DEFAULT_POLICY, Policy, PolicyError, load_policy

__all__ = ["DEFAULT_POLICY", "Policy", "PolicyError", "Settings", "SettingsError", "load_policy", "load_settings"]
