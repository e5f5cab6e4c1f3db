"""Proposals of operators: compare-and-set on the version row."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from cassiaturn.configuration._documents import (
    VERSION_KEY,
    MalformedRow,
    VersionRow,
    document_key,
    from_json,
    from_version_json,
    to_json,
    to_version_json,
)
from cassiaturn.configuration._shared import ConfigurationContent, SharedConfiguration
from cassiaturn.services import (
    ABSENT_VERSION,
    AnswerLost,
    Conflict,
    Delete,
    Put,
    ReadError,
    Row,
    TableService,
    Unavailable,
    Write,
    WriteError,
)

KEPT_VERSIONS = 1_000
"""Documents kept in the table: seven hours at 3,500 changes a day."""

MAX_ATTEMPTS = 5
"""Tries of one write; with the pauses below, about 3 s."""

FIRST_PAUSE_S = 0.2
"""Pause after the first try without an answer, in seconds; doubles."""

Pause = Callable[[float], Awaitable[None]]
"""Waits for a time in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Superseded:
    """Somebody else's version is in force; look at it and propose anew."""

    expected: int
    """The version that the proposal was made against."""

    winner: int
    """The version in force."""

    author: str
    """Who proposed that one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Undetermined:
    """No answer settled whether the proposal took effect; list and see."""

    version: int
    """The version that it would have."""

    detail: str
    """The last error."""


StoredError = ReadError | MalformedRow
"""Why a stored version cannot be had."""

ProposalError = Superseded | Undetermined | MalformedRow | WriteError


async def propose(
    *,
    table: TableService,
    content: ConfigurationContent,
    author: str,
    expected_version: int,
    token: str,
    pause: Pause = asyncio.sleep,
) -> Result[SharedConfiguration, ProposalError]:
    """Put a configuration in force, if nobody was faster.

    :param table: where it is kept.
    :param content: what is to be agreed.
    :param author: who proposes it.
    :param expected_version: the version that the proposer has seen; 0: none.
    :param token: names this attempt; not used for another.
    :param pause: waits between tries.
    """
    found = await read_current(table)
    if not is_successful(found):
        return Failure(found.failure())
    current = found.unwrap()
    if current.row.version != expected_version:
        return Failure(_superseded(expected_version, current.row))
    proposed = SharedConfiguration(
        version=expected_version + 1, author=author, token=token, content=content
    )
    writes = _writes_of(proposed, current.table_version)
    return await _write(table, proposed, writes, pause)


@dataclass(frozen=True, slots=True, kw_only=True)
class Current:
    """The version row as it was read."""

    row: VersionRow
    """Its content; version 0 while there is none."""

    table_version: int
    """The table's own version of the row, for a conditional write."""


async def read_current(
    table: TableService,
) -> Result[Current, StoredError]:
    """Read which version is in force.

    :param table: where it is kept.
    """
    found = await table.read([VERSION_KEY])
    if not is_successful(found):
        return Failure(found.failure())
    return _to_current(found.unwrap().get(VERSION_KEY))


async def read_version(
    table: TableService, version: int
) -> Result[SharedConfiguration, StoredError]:
    """Read one stored version.

    :param table: where it is kept.
    :param version: from 1.
    """
    key = document_key(version)
    found = await table.read([key])
    if not is_successful(found):
        return Failure(found.failure())
    return _to_configuration(key, found.unwrap().get(key))


async def list_versions(
    table: TableService, *, latest: int, count: int
) -> Result[Sequence[SharedConfiguration], StoredError]:
    """Read the latest versions, oldest first.

    :param table: where they are kept.
    :param latest: the version in force.
    :param count: versions at most.
    """
    first = max(1, latest - count + 1)
    keys = [document_key(version) for version in range(first, latest + 1)]
    found = await table.read(keys)
    if not is_successful(found):
        return Failure(found.failure())
    return _to_configurations(found.unwrap())


def _to_current(row: Row | None) -> Result[Current, StoredError]:
    if row is None:
        nobody = VersionRow(version=0, author="")
        return Success(Current(row=nobody, table_version=ABSENT_VERSION))
    return from_version_json(row.value).map(
        lambda content: Current(row=content, table_version=row.version)
    )


def _to_configuration(
    key: str, row: Row | None
) -> Result[SharedConfiguration, StoredError]:
    if row is None:
        return Failure(MalformedRow(key=key, detail="the row does not exist"))
    return from_json(key, row.value)


def _to_configurations(
    rows_by_key: Mapping[str, Row],
) -> Result[Sequence[SharedConfiguration], StoredError]:
    found: list[SharedConfiguration] = []
    for key in sorted(rows_by_key):
        match from_json(key, rows_by_key[key].value):
            case Success(configuration):
                found.append(configuration)
            case Failure(error):
                return Failure(error)
    return Success(found)


def _writes_of(proposed: SharedConfiguration, table_version: int) -> Sequence[Write]:
    row = VersionRow(version=proposed.version, author=proposed.author)
    writes: list[Write] = [
        Put(
            key=VERSION_KEY,
            value=to_version_json(row),
            expected_version=table_version,
        ),
        Put(
            key=document_key(proposed.version),
            value=to_json(proposed),
            expected_version=ABSENT_VERSION,
        ),
    ]
    forgotten = proposed.version - KEPT_VERSIONS
    if forgotten > 0:
        writes.append(Delete(key=document_key(forgotten)))
    return writes


async def _write(
    table: TableService,
    proposed: SharedConfiguration,
    writes: Sequence[Write],
    pause: Pause,
) -> Result[SharedConfiguration, ProposalError]:
    doubt: AnswerLost | None = None
    error: WriteError | None = None
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await pause(FIRST_PAUSE_S * 2 ** (attempt - 1))
        match await table.transact(writes):
            case Success(_):
                return Success(proposed)
            case Failure(Conflict(rows_by_key=rows_by_key)):
                return _judge(proposed, rows_by_key)
            case Failure(AnswerLost() as lost):
                # The write may have won. The same write again cannot win twice,
                # and its conflict shows whose token the document bears.
                doubt = lost
            case Failure(failed):
                error = failed
    if doubt is None:
        return Failure(error or Unavailable(detail="no attempt was made"))
    stored = await read_version(table, proposed.version)
    if is_successful(stored) and stored.unwrap().token == proposed.token:
        return Success(proposed)
    return Failure(Undetermined(version=proposed.version, detail=doubt.detail))


def _judge(
    proposed: SharedConfiguration, rows_by_key: Mapping[str, Row]
) -> Result[SharedConfiguration, ProposalError]:
    document = rows_by_key.get(document_key(proposed.version))
    if document is not None:
        match from_json(document.key, document.value):
            case Success(stored) if stored.token == proposed.token:
                return Success(proposed)
            case _:
                pass
    current = _to_current(rows_by_key.get(VERSION_KEY))
    if not is_successful(current):
        return Failure(current.failure())
    row = current.unwrap().row
    if document is not None and row.version < proposed.version:
        detail = f"names version {row.version}, but {document.key} exists"
        return Failure(MalformedRow(key=VERSION_KEY, detail=detail))
    return Failure(_superseded(proposed.version - 1, row))


def _superseded(expected_version: int, row: VersionRow) -> Superseded:
    return Superseded(expected=expected_version, winner=row.version, author=row.author)
