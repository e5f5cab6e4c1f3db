"""Requests and replies of a schema's method as JSON."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import descriptor_pb2, descriptor_pool, json_format
from google.protobuf.message import DecodeError, Message
from google.protobuf.message_factory import GetMessageClass
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from cassiaturn.entities import Schema


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidRequest:
    """What is wrong with a command's input."""

    source: str
    """The method, or the line of the input."""

    problem: str
    """What is wrong and what is allowed."""

    def __str__(self) -> str:
        return f"{self.source}: {self.problem}"


@dataclass(frozen=True, slots=True, kw_only=True)
class MethodMessages:
    """Turns JSON into a method's requests, and its replies into JSON."""

    request_class: type[Message]
    """Class of the requests."""

    reply_class: type[Message]
    """Class of the replies."""

    deadline_ms: int
    """The method's own deadline, in milliseconds."""

    def encode_lines(self, lines: Iterable[str]) -> Result[list[bytes], InvalidRequest]:
        """Return one serialized request a line; empty lines are left out.

        :param lines: one JSON object each.
        """
        payloads: list[bytes] = []
        for number, line in enumerate(lines, start=1):
            if not line.strip():
                continue
            encoded = self._encode(line)
            if not is_successful(encoded):
                source = f"line {number}"
                return Failure(InvalidRequest(source=source, problem=encoded.failure()))
            payloads.append(encoded.unwrap())
        if not payloads:
            problem = "holds no task; at least one JSON line is needed"
            return Failure(InvalidRequest(source="input", problem=problem))
        return Success(payloads)

    def _encode(self, line: str) -> Result[bytes, str]:
        try:
            document = json.loads(line)
        except (ValueError, RecursionError) as error:
            return Failure(f"no JSON: {error}")
        # The library takes an empty list for an empty message.
        if not isinstance(document, dict):
            return Failure("must be a JSON object")
        try:
            request = json_format.ParseDict(document, self.request_class())
        except json_format.ParseError as error:
            return Failure(str(error))
        return Success(request.SerializeToString())

    def decode_reply(self, content: bytes) -> str:
        """Return a reply as JSON text on one line.

        :param content: a serialized reply; text that says so if it is none.
        """
        reply = self.reply_class()
        try:
            reply.ParseFromString(content)
        except DecodeError:
            return '"a reply that does not fit the schema"'
        return json_format.MessageToJson(
            reply, indent=None, preserving_proto_field_name=True
        )


def load_method(
    schemas: Sequence[Path], name: str
) -> Result[MethodMessages, InvalidRequest]:
    """Find a method in schema files.

    :param schemas: descriptor sets.
    :param name: ``package.Service/Method``.
    """
    loaded = Schema.load(schemas)
    if not is_successful(loaded):
        errors = "; ".join(str(error) for error in loaded.failure())
        return Failure(InvalidRequest(source="--schema", problem=errors))
    method = loaded.unwrap().methods_by_name.get(name)
    if method is None:
        known = ", ".join(sorted(loaded.unwrap().methods_by_name))
        problem = f"no such method; the schema declares: {known}"
        return Failure(InvalidRequest(source=name, problem=problem))
    pool = descriptor_pool.DescriptorPool()
    for path in schemas:
        added = _add_files(pool, path)
        if not is_successful(added):
            return Failure(added.failure())
    descriptor = pool.FindMethodByName(name.replace("/", "."))
    return Success(
        MethodMessages(
            request_class=GetMessageClass(descriptor.input_type),
            reply_class=GetMessageClass(descriptor.output_type),
            deadline_ms=method.deadline_ms,
        )
    )


def _add_files(
    pool: descriptor_pool.DescriptorPool, path: Path
) -> Result[None, InvalidRequest]:
    files = descriptor_pb2.FileDescriptorSet.FromString(path.read_bytes())
    for file in files.file:
        try:
            pool.Add(file)
        except TypeError as error:
            problem = f"{error}; write it with 'protoc --include_imports'"
            return Failure(InvalidRequest(source=str(path), problem=problem))
    return Success(None)
