from pathlib import Path

from cassiaturn.cli import ExitCode
from cassiaturn.observability import Event

PAGE = Path(__file__).parents[4] / "docs" / "operators" / "running.md"


def test_every_event_is_on_the_operators_page() -> None:
    lines = PAGE.read_text().splitlines()
    documented = [line for line in lines if line.startswith("| `") and ". |" in line]
    expected = [
        f"| `{event.kind.name}` | {event.kind.level.name.lower()} |"
        f" {event.kind.meaning} |"
        for event in Event
    ]
    assert documented == expected


def test_every_exit_code_is_on_the_operators_page() -> None:
    lines = PAGE.read_text().splitlines()
    for code in ExitCode:
        row = f"| {code.value} | {code.name.lower()} | "
        assert sum(line.startswith(row) for line in lines) == 1
