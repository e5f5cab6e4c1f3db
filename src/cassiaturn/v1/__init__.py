"""Protobuf messages and grpclib stubs generated from the ``.proto`` files."""
