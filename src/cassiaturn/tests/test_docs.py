"""What the pages name is there."""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[3]
NAMED_TEST = re.compile(r"`(src/[\w/]+\.py)::(\w+)`")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def pages() -> Iterator[Path]:
    yield ROOT / "README.md"
    yield from sorted((ROOT / "docs").rglob("*.md"))


def test_every_test_that_the_failures_page_names_exists() -> None:
    named = NAMED_TEST.findall((ROOT / "docs" / "FAILURES.md").read_text())
    assert len(named) > 50
    for path, name in named:
        assert f"def {name}(" in (ROOT / path).read_text(), f"{path}::{name}"


@pytest.mark.parametrize("page", list(pages()), ids=lambda page: page.name)
def test_links_between_pages_lead_somewhere(page: Path) -> None:
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), f"{page.name}: {target}"
