"""Runs the process that settings describe; what a start needs first comes first."""

from cassiaturn.serving._serve import default_settings, open_port_and_serve

__all__ = ["default_settings", "open_port_and_serve"]
