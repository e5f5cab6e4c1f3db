"""Loads the methods that an operator's schema files declare, by full name."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import descriptor_pb2
from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from cassiaturn.entities._method import Method, RequestClass
from cassiaturn.entities._resources import Resources
from cassiaturn.v1 import options_pb2 as pb

DEFAULT_DEADLINE_MS = 30_000
"""Deadline of a method that declares none; well above the longest run times."""

DEFAULT_EXPECTED_RUN_MS = 300
"""Run time of a method that declares none; mid-range of 50 ms to 1 s."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SchemaError:
    """Why a schema file or a method in it was rejected."""

    source: str
    """Path of the file, or full name of the method."""

    problem: str
    """What is wrong and what is allowed, in plain words."""

    def __str__(self) -> str:
        return f"{self.source}: {self.problem}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Schema:
    """All methods that callers may submit tasks for."""

    methods_by_name: Mapping[str, Method]
    """Declared methods, by ``package.Service/Method``."""

    @classmethod
    def load(cls, paths: Iterable[Path]) -> Result["Schema", list[SchemaError]]:
        """Read descriptor sets that ``protoc --descriptor_set_out`` wrote.

        :param paths: files of serialized ``FileDescriptorSet`` messages.
        :returns: the schema, or all problems found in the files.
        """
        methods_by_name: dict[str, Method] = {}
        errors: list[SchemaError] = []
        for path in paths:
            match _read_descriptor_set(path):
                case Success(files):
                    for method in _declared_methods(files, errors):
                        methods_by_name[method.name] = method
                case Failure(error):
                    errors.append(error)
        if errors:
            return Failure(errors)
        return Success(cls(methods_by_name=methods_by_name))


def _read_descriptor_set(
    path: Path,
) -> Result[descriptor_pb2.FileDescriptorSet, SchemaError]:
    try:
        content = path.read_bytes()
    except OSError as error:
        return Failure(SchemaError(source=str(path), problem=f"cannot read: {error}"))
    files = descriptor_pb2.FileDescriptorSet()
    try:
        files.ParseFromString(content)
    except DecodeError as error:
        problem = (
            f"not a descriptor set ({error}); write one with"
            " 'protoc --include_imports --descriptor_set_out'"
        )
        return Failure(SchemaError(source=str(path), problem=problem))
    return Success(files)


def _declared_methods(
    files: descriptor_pb2.FileDescriptorSet, errors: list[SchemaError]
) -> Iterable[Method]:
    for file in files.file:
        for service in file.service:
            for method in service.method:
                name = f"{file.package}.{service.name}/{method.name}"
                if method.client_streaming or method.server_streaming:
                    errors.append(
                        SchemaError(source=name, problem="must not be a stream")
                    )
                elif method.options.HasExtension(pb.task):
                    yield _to_method(name, method.options.Extensions[pb.task])


def _to_method(name: str, options: pb.TaskOptions) -> Method:
    return Method(
        name=name,
        repeatable=options.repeatable,
        request_class=RequestClass(options.request_class or RequestClass.NORMAL),
        expected_run_ms=options.expected_run_ms or DEFAULT_EXPECTED_RUN_MS,
        deadline_ms=options.deadline_ms or DEFAULT_DEADLINE_MS,
        resources=Resources(
            cpu_millis=options.resources.cpu_millis,
            memory_mib=options.resources.memory_mib,
            accelerators=options.resources.accelerators,
        ),
    )
