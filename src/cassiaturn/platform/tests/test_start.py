"""What a member imports before it can serve."""

import subprocess
import sys

import pytest

IMPORTS = (
    "import sys, cassiaturn.cli, cassiaturn.fleet, cassiaturn.platform,"
    " cassiaturn.fleet._process; print(*sys.modules)"
)

NEEDLESS = (
    "cassiaturn.services._wire",
    "cassiaturn.services._table",
    "cassiaturn.observability._status",
    "cassiaturn.settings._instance",
    "cassiaturn.server",
    "cassiaturn.engine",
    "cassiaturn.load",
)


@pytest.fixture(scope="module")
def modules() -> set[str]:
    found = subprocess.run(
        [sys.executable, "-c", IMPORTS], capture_output=True, text=True, check=True
    )
    return set(found.stdout.split())


@pytest.mark.parametrize("module", NEEDLESS)
def test_a_member_does_not_wait_for_the_other_deployment(
    modules: set[str], module: str
) -> None:
    """All hosts lose power; callers get nothing until imports are done.

    Modules of the other deployment took a tenth of that time.
    """
    assert "cassiaturn.fleet" in modules
    assert module not in modules
