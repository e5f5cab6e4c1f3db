"""What callers lose where several leaders share a site's workers."""

from functools import cache

from cassiaturn.bench._shared_load import SHARED_LOADS_BY_NAME, SHARED_SITES_BY_USER
from cassiaturn.bench._shared_play import play_shared
from cassiaturn.bench._shared_variants import OURS
from cassiaturn.bench._split_play import Split, play_split

SITE = SHARED_SITES_BY_USER["kwabena"]

HEAVY = SHARED_LOADS_BY_NAME["heavy"]


@cache
def _share(workers: int, groups: int) -> float:
    split = Split(workers=workers, groups=groups, view_age_s=0.15)
    return play_split(SITE, HEAVY, split, seed=1).whole.share


def test_one_group_is_the_site_as_it_is() -> None:
    whole = play_shared(SITE, HEAVY, variant=OURS, seed=1)
    assert _share(24, 1) == whole.whole.share


def test_small_pools_cost_callers_their_time() -> None:
    """More work than places, and four leaders of six workers each in place of one.

    A job of eight tasks finds few places in any of the four pools, and waits for its
    own although the others have some: 0.9607 of the worth in time becomes 0.8716. The
    bound is half of that loss.
    """
    assert _share(24, 4) <= _share(24, 1) - 0.04


def test_larger_pools_cost_less() -> None:
    """The same with twelve workers a leader: 0.9392."""
    assert _share(24, 4) < _share(24, 2) < _share(24, 1)
