"""A dispatcher for sub-second tasks."""
