from importlib.resources import files
from pathlib import Path

from returns.result import Failure, Success

from cassiaturn.entities import RequestClass, Schema

KWABENA = Path(str(files("cassiaturn_examples") / "kwabena" / "props.binpb"))
REGISTRE = Path(str(files("cassiaturn_examples") / "registre" / "register.binpb"))


def test_load_reads_declared_options() -> None:
    schema = Schema.load([KWABENA, REGISTRE]).unwrap()
    order = schema.methods_by_name["kwabena.v1.Props/OrderDeck"]
    assert not order.repeatable
    assert order.request_class is RequestClass.URGENT
    assert order.deadline_ms == 5000
    assert len(schema.methods_by_name) == 6


def test_load_reports_every_unusable_file(tmp_path: Path) -> None:
    """One unreadable file must not hide the problems of the files after it."""
    garbage = tmp_path / "garbage.binpb"
    garbage.write_bytes(b"\xff\xff\xff")
    missing = tmp_path / "missing.binpb"
    match Schema.load([garbage, missing]):
        case Failure(errors):
            assert [error.source for error in errors] == [str(garbage), str(missing)]
        case Success(_):
            raise AssertionError("Schema.load accepted unusable files")
