"""What every instance must agree on."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Annotated

from pydantic import Field, with_config

from cassiaturn.policy import PolicySettings
from cassiaturn.settings import (
    STRICT_KEYS,
    ClassName,
    Identifier,
    NotNegative,
    Positive,
    Rate,
    unique_by,
)

FILE_VERSION = 0
"""Version of a configuration that the table service never held."""

MAX_NOTE_CHARACTERS = 500

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class TenantSettings:
    """Somebody whose jobs are served, with a share and a quota."""

    name: Identifier
    """What callers name in the call metadata."""

    weight: Rate = 1.0
    """Share of service against other tenants; twice as high gets twice as much."""

    quota_slots: Positive
    """Slots that its tasks may use at once, over all instances."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassSettings:
    """What a request class may count on; replaces the instances' own value."""

    max_wait_ms: Positive | None = None
    """Longest expected wait that is accepted, in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Guards:
    """Safeguards that operators may switch while they look for a cause."""

    ejection: Annotated[bool, Field(strict=True)] = True
    """Whether slow and failing targets get fewer starts, or none."""

    retries: Annotated[bool, Field(strict=True)] = True
    """Whether tasks of repeatable methods may run again."""


@with_config(STRICT_KEYS)
@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationContent:
    """What operators write; one YAML document."""

    tenants: Annotated[
        tuple[TenantSettings, ...], unique_by("name"), Field(min_length=1)
    ]
    """Who is served; everybody else is refused."""

    classes: Mapping[ClassName, ClassSettings] = field(default_factory=dict)
    """Request classes that differ from the instances' own settings."""

    guards: Guards = field(default_factory=Guards)
    """Safeguards in force."""

    drained_targets: tuple[Identifier, ...] = ()
    """Targets that get no new start, whoever holds them."""

    drained_failure_domains: tuple[Identifier, ...] = ()
    """Failure domains whose targets, also later ones, get no new start."""

    note: Annotated[str, Field(strict=True, max_length=MAX_NOTE_CHARACTERS)] = ""
    """Why it was changed, for the next operator."""

    def with_drain(self, target_id: str, *, drained: bool) -> "ConfigurationContent":
        """Return the content with a target drained or active.

        :param target_id: the target.
        :param drained: whether it gets no new start.
        """
        targets = _with_member(self.drained_targets, target_id, included=drained)
        return replace(self, drained_targets=targets)

    def with_domain_drain(
        self, failure_domain: str, *, drained: bool
    ) -> "ConfigurationContent":
        """Return the content with a failure domain drained or active.

        :param failure_domain: the failure domain.
        :param drained: whether its targets get no new start.
        """
        failure_domains = _with_member(
            self.drained_failure_domains, failure_domain, included=drained
        )
        return replace(self, drained_failure_domains=failure_domains)


@with_config(STRICT_KEYS)
@dataclass(frozen=True, slots=True, kw_only=True)
class SharedConfiguration:
    """One version of what every instance must agree on; never changed."""

    version: NotNegative
    """Above 0; each proposal that wins takes the next one. 0: from a file."""

    author: str = ""
    """Who proposed it."""

    token: str = ""
    """Names the attempt that wrote it, to tell a lost answer from a lost race."""

    content: ConfigurationContent
    """What was agreed."""

    @property
    def tenants(self) -> tuple[TenantSettings, ...]:
        """Who is served."""
        return self.content.tenants

    def applied_to(self, policy: PolicySettings) -> PolicySettings:
        """Return an instance's tunables with this configuration's in their place.

        :param policy: the instance's own.
        """
        admission, health, retries = policy.admission, policy.health, policy.retries
        max_wait_s_by_class = dict(admission.max_wait_s_by_class)
        for request_class, settings in self.content.classes.items():
            if settings.max_wait_ms is not None:
                max_wait_s_by_class[request_class] = settings.max_wait_ms / MS_PER_S
        admission = replace(admission, max_wait_s_by_class=max_wait_s_by_class)
        if not self.content.guards.ejection:
            health = replace(health, slow_ratio=math.inf, ejected_share=0.0)
        if not self.content.guards.retries:
            retries = replace(retries, max_attempts=1)
        return replace(policy, admission=admission, health=health, retries=retries)


def _with_member(
    names: tuple[str, ...], name: str, *, included: bool
) -> tuple[str, ...]:
    """Return sorted names with one of them included or left out."""
    others = [other for other in names if other != name]
    return tuple(sorted([*others, name] if included else others))
