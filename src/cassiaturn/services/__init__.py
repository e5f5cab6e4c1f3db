"""The platform's table service, object store and list of hosts."""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.services._errors import (
    AnswerLost,
    Conflict,
    Missing,
    Misused,
    ReadError,
    Throttled,
    Unavailable,
    WriteError,
)
from cassiaturn.services._rows import ABSENT_VERSION, Committed, Delete, Put, Row, Write
from cassiaturn.services._table_service import TableService

if TYPE_CHECKING:
    from cassiaturn.services._hosts import Host, HostList, HostState, HttpHostList
    from cassiaturn.services._http import HttpCaller, HttpMethod
    from cassiaturn.services._objects import HttpObjectStore, ObjectStore
    from cassiaturn.services._table import HttpTableService
    from cassiaturn.services._wire import (
        HostDocument,
        HostsReply,
        ReadRequest,
        RowDocument,
        RowsReply,
        ScanRequest,
        TransactReply,
        TransactRequest,
        to_write,
    )

__getattr__ = lazy_exports(
    __name__,
    {
        "Host": "_hosts",
        "HostDocument": "_wire",
        "HostList": "_hosts",
        "HostState": "_hosts",
        "HostsReply": "_wire",
        "HttpCaller": "_http",
        "HttpHostList": "_hosts",
        "HttpMethod": "_http",
        "HttpObjectStore": "_objects",
        "HttpTableService": "_table",
        "ObjectStore": "_objects",
        "ReadRequest": "_wire",
        "RowDocument": "_wire",
        "RowsReply": "_wire",
        "ScanRequest": "_wire",
        "TransactReply": "_wire",
        "TransactRequest": "_wire",
        "to_write": "_wire",
    },
)

__all__ = [
    "ABSENT_VERSION",
    "AnswerLost",
    "Committed",
    "Conflict",
    "Delete",
    "Host",
    "HostDocument",
    "HostList",
    "HostState",
    "HostsReply",
    "HttpCaller",
    "HttpHostList",
    "HttpMethod",
    "HttpObjectStore",
    "HttpTableService",
    "Missing",
    "Misused",
    "ObjectStore",
    "Put",
    "ReadError",
    "ReadRequest",
    "Row",
    "RowDocument",
    "RowsReply",
    "ScanRequest",
    "TableService",
    "Throttled",
    "TransactReply",
    "TransactRequest",
    "Unavailable",
    "Write",
    "WriteError",
    "to_write",
]
