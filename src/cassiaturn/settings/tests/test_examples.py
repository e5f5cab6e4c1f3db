from collections import Counter
from pathlib import Path

import pytest

from cassiaturn.configuration import load_content
from cassiaturn.entities import Schema
from cassiaturn.settings import load_instance_settings

EXAMPLES = Path(__file__).parents[4] / "settings"


@pytest.mark.parametrize(
    ("file", "domains", "targets_in_a_rack", "cpu_millis"),
    [
        ("kwabena/osu-1.yaml", 4, 6, 16_000),
        ("registre/rennes-a-1.yaml", 3, 8, 32_000),
    ],
)
def test_the_examples_are_valid_and_of_real_size(
    file: str, domains: int, targets_in_a_rack: int, cpu_millis: int
) -> None:
    loaded = load_instance_settings(EXAMPLES / file).unwrap()
    assert len(loaded.peers) == 7
    assert len({target.failure_domain for target in loaded.targets}) == domains
    racks = Counter(target.rack for target in loaded.targets)
    assert set(racks.values()) == {targets_in_a_rack}
    assert len({target.worker for target in loaded.targets}) == 24
    assert {target.resources.cpu_millis for target in loaded.targets} == {cpu_millis}
    addresses = [loaded.listen, *(peer.address for peer in loaded.peers)]
    addresses += [target.address for target in loaded.targets]
    assert len(set(addresses)) == len(addresses)
    assert Schema.load(loaded.schemas).unwrap().methods_by_name
    assert loaded.configuration_file is not None
    shared = load_content(loaded.configuration_file).unwrap()
    slots = sum(target.slots for target in loaded.targets)
    assert all(tenant.quota_slots <= slots for tenant in shared.tenants)
