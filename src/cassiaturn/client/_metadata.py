"""Keys of the call metadata that callers and instances exchange."""

TENANT_KEY = "cassiaturn-tenant"
"""Tenant that a call is made for; checked against the shared configuration."""

CALLER_KEY = "cassiaturn-caller"
"""Caller within the tenant, for fair order between callers."""

SUBMISSION_KEY = "cassiaturn-submission-id"
"""Submission id of a call made through an operator's own stub."""

OUTCOME_KEY = "cassiaturn-outcome"
"""Outcome of such a call, in the trailing metadata where it is not complete."""
