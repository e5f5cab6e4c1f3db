from pathlib import Path

import yaml

from cassiaturn.load import load_scenario, run_scenario

SMALL = {
    "name": "small",
    "duration_s": 1.0,
    "deployment": {"failure_domains": ["osu", "makola"], "instances": 2, "runners": 2},
    "tenants": ["guild"],
    "flows": [
        {
            "method": "kwabena.v1.Props/OrderDeck",
            "jobs_per_s": 30,
            "run_time": {"median_ms": 20},
            "own_id_share": 0.2,
        }
    ],
    "resubmission": {"share": 0.5},
    "faults": [{"at_s": 0.5, "kind": "stop_instance", "index": 1}],
}


async def test_small_scenario_against_real_processes(tmp_path: Path) -> None:
    """Two instances serve, one is stopped gracefully while jobs arrive.

    Half of the jobs are sent to both. Every answer is whole or a true refusal,
    each order is begun once, and both instances end with exit code 0.
    """
    path = tmp_path / "small.yaml"
    path.write_text(yaml.safe_dump(SMALL))
    figures = await run_scenario(load_scenario(path).unwrap(), tmp_path)
    assert figures.counts.violations == []
    assert figures.counts.invariants_hold
    assert figures.counts.complete > 0
    assert figures.response_s.count > 0
    assert list(figures.seen.exit_codes) == [0, 0]
