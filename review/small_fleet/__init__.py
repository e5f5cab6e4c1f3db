"""Stand-ins of the platform and a small deployment, for the cases of this review."""
