"""Replies that a caller can check to be its own."""

from collections.abc import Callable

import xxhash
from google.protobuf.message import DecodeError

from cassiaturn.entities import TaskKey
from cassiaturn_examples.kwabena import props_pb2 as props
from cassiaturn_examples.registre import register_pb2 as register

_Reply = Callable[[bytes, str], bytes]

_REPLIES_BY_METHOD: dict[str, _Reply] = {}

_STOCK_RANGE = 1000


def reply_to(*, method: str, payload: bytes, key: TaskKey) -> bytes:
    """Return the reply of a task, which depends on its payload and its key.

    Methods of the example schemas get a serialized message of their reply
    type, every other method the digest itself.

    :param method: full method name.
    :param payload: serialized request.
    :param key: the task.
    """
    text = f"{key.submission_id}/{key.task_index}"
    digest = xxhash.xxh3_128_hexdigest(payload + text.encode())
    reply = _REPLIES_BY_METHOD.get(method)
    if reply is None:
        return digest.encode()
    try:
        return reply(payload, digest)
    except DecodeError:
        return digest.encode()


def _replies(method: str) -> Callable[[_Reply], _Reply]:
    def register_reply(reply: _Reply) -> _Reply:
        _REPLIES_BY_METHOD[method] = reply
        return reply

    return register_reply


def _number(digest: str) -> int:
    return int(digest[:8], 16)


@_replies("kwabena.v1.Props/CheckAvailability")
def _availability(payload: bytes, digest: str) -> bytes:
    request = props.AvailabilityRequest.FromString(payload)
    reply = props.AvailabilityReply(
        prop_id=request.prop_id, in_stock=_number(digest) % _STOCK_RANGE
    )
    return reply.SerializeToString()


@_replies("kwabena.v1.Props/PriceIllusion")
def _price(payload: bytes, digest: str) -> bytes:
    request = props.PriceRequest.FromString(payload)
    reply = props.PriceReply(
        illusion_id=request.illusion_id, price_pesewas=_number(digest)
    )
    return reply.SerializeToString()


@_replies("kwabena.v1.Props/OrderDeck")
def _order(payload: bytes, digest: str) -> bytes:
    props.OrderRequest.FromString(payload)
    return props.OrderReply(order_id=digest).SerializeToString()


@_replies("registre.v1.Register/CheckChassis")
def _chassis(payload: bytes, digest: str) -> bytes:
    request = register.ChassisRequest.FromString(payload)
    reply = register.ChassisReply(
        chassis_number=request.chassis_number,
        history_matches=bool(_number(digest) % 2),
    )
    return reply.SerializeToString()


@_replies("registre.v1.Register/ConfirmEntry")
def _entry(payload: bytes, digest: str) -> bytes:
    register.EntryRequest.FromString(payload)
    return register.EntryReply(slot=digest).SerializeToString()


@_replies("registre.v1.Register/LookUpMarque")
def _marque(payload: bytes, digest: str) -> bytes:
    request = register.MarqueRequest.FromString(payload)
    reply = register.MarqueReply(marque=request.marque, cars_registered=_number(digest))
    return reply.SerializeToString()
