"""The JSON documents that the platform's services exchange."""

from collections.abc import Mapping, Sequence
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cassiaturn.services._rows import Delete, Put, Write

_CLOSED = ConfigDict(extra="forbid", frozen=True)

MAX_WRITES = 1000
"""Writes of a transaction at most."""

MAX_SCAN_ROWS = 10_000
"""Rows of one scan at most."""


class RowDocument(BaseModel):
    """One row."""

    model_config = _CLOSED

    key: str
    value: str
    version: int = Field(gt=0)


class ReadRequest(BaseModel):
    """Body of ``POST /table/read``."""

    model_config = _CLOSED

    keys: Sequence[str] = Field(max_length=MAX_SCAN_ROWS)


class ScanRequest(BaseModel):
    """Body of ``POST /table/scan``."""

    model_config = _CLOSED

    prefix: str
    limit: int = Field(ge=1, le=MAX_SCAN_ROWS)
    after: str = ""


class RowsReply(BaseModel):
    """Rows found, or the rows of a conflict."""

    model_config = _CLOSED

    rows: Sequence[RowDocument]


class PutDocument(BaseModel):
    """One row to write."""

    model_config = _CLOSED

    kind: Literal["put"] = "put"
    key: str = Field(min_length=1)
    value: str
    expected_version: int | None = Field(default=None, ge=0)


class DeleteDocument(BaseModel):
    """One row to remove."""

    model_config = _CLOSED

    kind: Literal["delete"] = "delete"
    key: str = Field(min_length=1)
    expected_version: int | None = Field(default=None, ge=1)


WriteDocument = Annotated[PutDocument | DeleteDocument, Field(discriminator="kind")]
"""One write of a transaction."""


def to_write(document: WriteDocument) -> Write:
    """Return the write that a document stands for."""
    if isinstance(document, PutDocument):
        return Put(
            key=document.key,
            value=document.value,
            expected_version=document.expected_version,
        )
    return Delete(key=document.key, expected_version=document.expected_version)


class TransactRequest(BaseModel):
    """Body of ``POST /table/transact``."""

    model_config = _CLOSED

    writes: Sequence[WriteDocument] = Field(min_length=1, max_length=MAX_WRITES)


class TransactReply(BaseModel):
    """Versions of the rows that were put."""

    model_config = _CLOSED

    versions_by_key: Mapping[str, int]


class HostDocument(BaseModel):
    """One host of the list."""

    model_config = _CLOSED

    host_id: str = Field(min_length=1)
    host: str
    port: int = Field(ge=1, le=65_535)
    failure_domain: str
    state: Literal["live", "leaving"]


class HostsReply(BaseModel):
    """The whole list."""

    model_config = _CLOSED

    hosts: Sequence[HostDocument]
