import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.policy import next_quota_part, split_quota
from cassiaturn.policy._quota import MAX_GROWTH

DEMANDS = st.dictionaries(
    st.sampled_from([f"i{index}" for index in range(9)]),
    st.integers(0, 2000),
    min_size=1,
)


@pytest.mark.parametrize(
    ("demand", "expected"),
    [
        ({"a": 0, "b": 0}, {"a": 6.0, "b": 6.0}),
        ({"a": 100, "b": 0}, {"a": 12.0, "b": 0.0}),
        ({"a": 100, "b": 2}, {"a": 10.0, "b": 2.0}),
        ({"a": 100, "b": 100}, {"a": 6.0, "b": 6.0}),
        ({"a": 4, "b": 2}, {"a": 7.0, "b": 5.0}),
    ],
)
def test_parts(demand: dict[str, int], expected: dict[str, float]) -> None:
    assert split_quota(quota_slots=12.0, demand_by_instance=demand) == expected


@given(demand=DEMANDS, quota=st.floats(0.0, 2000.0))
def test_parts_add_up(demand: dict[str, int], quota: float) -> None:
    parts = split_quota(quota_slots=quota, demand_by_instance=demand)
    assert sum(parts.values()) == pytest.approx(quota)
    assert min(parts.values()) >= 0.0


@given(views=st.lists(DEMANDS, min_size=1, max_size=6))
def test_the_sum_overshoots_by_a_bounded_factor_while_views_differ(
    views: list[dict[str, int]],
) -> None:
    """Demand changes, and half of the instances see it one step late.

    An instance then uses a part that another has not given up yet, so for one step
    the parts exceed the quota. The limit on growth bounds by how much.
    """
    instances = [f"i{index}" for index in range(9)]
    parts = dict.fromkeys(instances, 0.0)
    earlier = dict.fromkeys(instances, 0)
    for view in views:
        latest = {name: view.get(name, 0) for name in instances}
        for index, name in enumerate(instances):
            parts[name] = next_quota_part(
                quota_slots=100.0,
                instance_id=name,
                demand_by_instance=latest if index % 2 else earlier,
                current_slots=parts[name],
            )
        earlier = latest
        assert sum(parts.values()) <= 100.0 * (1 + len(instances) * MAX_GROWTH) + 1e-6
