"""Example schemas and callers of the first two users."""
