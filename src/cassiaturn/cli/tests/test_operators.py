import json
from collections.abc import AsyncIterator
from importlib.resources import files
from pathlib import Path

import pytest
import pytest_asyncio

from cassiaturn.cli import ExitCode
from cassiaturn.cli.tests.conftest import Run, Served
from cassiaturn.standins import PlatformSettings, PlatformStandIn

SCHEMA = str(files("cassiaturn_examples") / "kwabena" / "props.binpb")

NOBODY = "127.0.0.1:1"

SHARED = "tenants: [{name: counters, quota_slots: 16}]\n"

SETTINGS = f"""\
instance_id: osu-1
failure_domain: osu
listen: 127.0.0.1:0
http: 127.0.0.1:0
schemas: [{SCHEMA}]
configuration_file: shared.yaml
"""


@pytest_asyncio.fixture
async def table() -> AsyncIterator[str]:
    stand_in = PlatformStandIn(settings=PlatformSettings(write_ms=0, read_ms=0))
    await stand_in.start()
    yield f"http://127.0.0.1:{stand_in.port}"
    await stand_in.close()


async def test_the_status_is_a_table_or_json(run: Run, served: Served) -> None:
    shown = await run("status", "--to", served.address)
    assert shown.exit_code == ExitCode.OK
    assert "osu-1 (osu-1~5f): ready" in shown.stdout
    assert "configuration version: 3 (confirmed, 40 ms ago)" in shown.stdout
    as_json = await run("status", "--to", served.address, "--json")
    assert json.loads(as_json.stdout)["configuration"]["version"] == 3


@pytest.mark.parametrize(
    ("to", "code"),
    [(NOBODY, ExitCode.UNREACHABLE), ("localhost:7400", ExitCode.USAGE)],
)
async def test_a_status_that_cannot_be_had_says_why(
    run: Run, to: str, code: ExitCode
) -> None:
    result = await run("status", "--to", to)
    assert result.exit_code == code
    assert to in result.stderr


async def test_drains_reach_every_instance_that_was_given(
    run: Run, served: Served
) -> None:
    both = ["--to", served.address, "--to", served.address]
    assert (await run("drain", "target", "runner-1", *both)).exit_code == ExitCode.OK
    await run("drain", "target", "runner-1", "--activate", "--to", served.address)
    await run("drain", "instance", "--to", served.address)
    assert served.operator.drains == [
        "runner-1 activate=False",
        "runner-1 activate=False",
        "runner-1 activate=True",
        "instance",
    ]


@pytest.mark.parametrize("what", [["target", "runner-9"], ["instance"]])
async def test_a_refused_drain_has_its_own_code(
    run: Run, served: Served, what: list[str]
) -> None:
    served.operator.accepted = False
    result = await run("drain", *what, "--to", served.address)
    assert result.exit_code == ExitCode.REFUSED


async def test_the_slower_of_two_operators_is_told_the_winner(
    run: Run, table: str, tmp_path: Path
) -> None:
    """Two operators propose against version 0; the second is too late.

    It exits with a code of its own, names the winner, and the version in force
    is still that of the first.
    """
    file = tmp_path / "shared.yaml"
    file.write_text(SHARED)
    common = ["configuration", "propose", file, "--table", table, "--base", 0]
    assert (await run(*common, "--author", "ama")).exit_code == ExitCode.OK
    late = await run(*common, "--author", "kofi")
    assert late.exit_code == ExitCode.CONFLICT
    assert "version 1 of ama is in force, not 0" in late.stderr
    listed = await run("configuration", "list", "--table", table, "--json")
    assert [entry["author"] for entry in json.loads(listed.stdout)] == ["ama"]


async def test_what_is_shown_can_be_proposed_again(
    run: Run, table: str, tmp_path: Path
) -> None:
    file = tmp_path / "shared.yaml"
    file.write_text(SHARED)
    empty = await run("configuration", "show", "--table", table)
    assert empty.exit_code == ExitCode.USAGE
    for base in (0, 1):
        proposed = await run(
            "configuration", "propose", file, "--table", table, "--base", base
        )
        assert proposed.exit_code == ExitCode.OK
        shown = await run("configuration", "show", "--table", table)
        assert shown.stdout.startswith(f"# version {base + 1}, proposed by ")
        file.write_text(shown.stdout)
    table_shown = await run("configuration", "list", "--table", table)
    assert table_shown.stdout.splitlines()[0] == "Versions"
    assert len(table_shown.stdout.splitlines()) == 4


async def test_a_shared_drain_is_a_version_of_its_own(
    run: Run, table: str, tmp_path: Path
) -> None:
    file = tmp_path / "shared.yaml"
    file.write_text(SHARED)
    drain = ["configuration", "drain", "runner-1", "--table", table]
    assert (await run(*drain)).exit_code == ExitCode.USAGE
    await run("configuration", "propose", file, "--table", table, "--base", 0)
    drained = await run(*drain)
    assert drained.stdout == "version 2 is in force within 5 s\n"
    assert (await run(*drain)).stdout == "version 2: runner-1 is drained already\n"
    shown = await run("configuration", "show", "--table", table)
    assert "drained_targets:\n- runner-1\n" in shown.stdout
    await run(*drain, "--activate")
    shown = await run("configuration", "show", "--table", table)
    assert shown.stdout.startswith("# version 3")
    assert "drained_targets: []\n" in shown.stdout


async def test_a_failure_domain_is_drained_and_taken_back(
    run: Run, table: str, tmp_path: Path
) -> None:
    """Guards against a drain that names nothing, or both a target and a domain."""
    file = tmp_path / "shared.yaml"
    file.write_text(SHARED)
    await run("configuration", "propose", file, "--table", table, "--base", 0)
    drain = ["configuration", "drain", "--table", table]
    assert (await run(*drain)).exit_code == ExitCode.USAGE
    domain = ["--failure-domain", "osu"]
    both = await run("configuration", "drain", "runner-1", "--table", table, *domain)
    assert both.exit_code == ExitCode.USAGE
    assert (await run(*drain, *domain)).stdout == "version 2 is in force within 5 s\n"
    assert (await run(*drain, *domain)).stdout == "version 2: osu is drained already\n"
    shown = await run("configuration", "show", "--table", table)
    assert "drained_failure_domains:\n- osu\n" in shown.stdout
    await run(*drain, *domain, "--activate")
    shown = await run("configuration", "show", "--table", table)
    assert "drained_failure_domains: []\n" in shown.stdout


@pytest.mark.parametrize(
    ("content", "text"),
    [("tenants: []", "tenants: []: "), ("a: [", "each key once"), (None, "wrong.yaml")],
)
async def test_a_wrong_configuration_is_not_proposed(
    run: Run, table: str, tmp_path: Path, content: str | None, text: str
) -> None:
    file = tmp_path / "wrong.yaml"
    if content is not None:
        file.write_text(content)
    result = await run("configuration", "propose", file, "--table", table, "--base", 0)
    assert result.exit_code == ExitCode.USAGE
    assert text in result.stderr
    offline = await run("check", "configuration", file)
    assert offline.exit_code == ExitCode.USAGE


async def test_a_table_service_that_does_not_answer(run: Run) -> None:
    result = await run("configuration", "list", "--table", f"http://{NOBODY}")
    assert result.exit_code == ExitCode.UNREACHABLE


async def test_files_are_checked_with_those_they_name(run: Run, tmp_path: Path) -> None:
    (tmp_path / "osu-1.yaml").write_text(SETTINGS)
    missing = await run("check", "settings", tmp_path / "osu-1.yaml")
    assert missing.exit_code == ExitCode.USAGE
    assert "shared.yaml" in missing.stderr
    (tmp_path / "shared.yaml").write_text(SHARED)
    valid = await run("check", "settings", tmp_path / "osu-1.yaml")
    assert valid.exit_code == ExitCode.OK
    assert valid.stdout.endswith("osu-1.yaml: valid\n")


async def test_a_schema_shows_its_methods(run: Run, tmp_path: Path) -> None:
    shown = await run("check", "schema", SCHEMA)
    assert "kwabena.v1.Props/OrderDeck" in shown.stdout
    as_json = await run("check", "schema", SCHEMA, "--json")
    repeatable = {row["name"]: row["repeatable"] for row in json.loads(as_json.stdout)}
    assert repeatable["kwabena.v1.Props/OrderDeck"] is False
    wrong = await run("check", "schema", tmp_path / "missing.binpb")
    assert wrong.exit_code == ExitCode.USAGE


async def test_wrong_settings_end_an_instance_before_it_starts(
    run: Run, tmp_path: Path
) -> None:
    path = tmp_path / "wrong.yaml"
    path.write_text(SETTINGS + "limits: {max_tasks_per_job: 0}\nunknown: 1\n")
    result = await run("serve", "--settings", path)
    assert result.exit_code == ExitCode.USAGE
    lines = result.stderr.splitlines()
    assert all("level=error event=settings_invalid" in line for line in lines)
    assert "key=limits.max_tasks_per_job value=0" in lines[0]
    assert "key=unknown value=1" in lines[1]


@pytest.mark.parametrize(
    "words", [[], ["check"], ["configuration"], ["drain"], ["standin"], ["load"]]
)
async def test_every_group_has_help(run: Run, words: list[str]) -> None:
    result = await run(*words, "--help")
    assert result.exit_code == ExitCode.OK
    assert "Usage" in result.stdout
