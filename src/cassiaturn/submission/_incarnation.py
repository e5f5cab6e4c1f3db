"""Incarnations: names of one run of an instance process."""

import random
import re

INCARNATION_MARK = "~"
"""Separates the instance id from the start time and random part."""

MAX_INSTANCE_ID_LENGTH = 48
"""Longest instance id, in characters."""

_RANDOM_BITS = 32
_RANDOM_DIGITS = _RANDOM_BITS // 4
_INCARNATION = re.compile(
    rf"([A-Za-z0-9_-]{{1,{MAX_INSTANCE_ID_LENGTH}}})"
    rf"{INCARNATION_MARK}[0-9a-f]{{{_RANDOM_DIGITS + 1},24}}"
)


def new_incarnation(*, instance_id: str, boot_ms: int, rng: random.Random) -> str:
    """Return a name that no other run of any instance has.

    :param instance_id: letters, digits, ``-`` and ``_``.
    :param boot_ms: wall clock at the start, in milliseconds; it orders the
        incarnations of one instance and is not compared between hosts.
    :param rng: source of the random part.
    :returns: the instance id, a mark, the start time and 32 random bits in hex.
    :raises ValueError: the instance id is empty, too long or has other characters.
    """
    start_part = f"{boot_ms:x}{rng.getrandbits(_RANDOM_BITS):0{_RANDOM_DIGITS}x}"
    incarnation = f"{instance_id}{INCARNATION_MARK}{start_part}"
    if _INCARNATION.fullmatch(incarnation) is None:
        raise ValueError(
            f"instance_id {instance_id!r}: 1 to {MAX_INSTANCE_ID_LENGTH} letters,"
            " digits, '-' or '_' are allowed"
        )
    return incarnation


def is_incarnation(text: str) -> bool:
    """Return whether a text has the form that :func:`new_incarnation` returns."""
    return _INCARNATION.fullmatch(text) is not None


def instance_of(incarnation: str) -> str:
    """Return the instance id of an incarnation.

    :param incarnation: a result of :func:`new_incarnation`.
    """
    return incarnation.partition(INCARNATION_MARK)[0]


def booted_ms(incarnation: str) -> int:
    """Return the wall clock at the start of an incarnation, in milliseconds.

    Use it only to order the incarnations of one instance, since the clocks of two
    hosts differ.

    :param incarnation: a result of :func:`new_incarnation`; any other text gives 0.
    """
    if not is_incarnation(incarnation):
        return 0
    start_part = incarnation.partition(INCARNATION_MARK)[2]
    return int(start_part[:-_RANDOM_DIGITS], base=16)
