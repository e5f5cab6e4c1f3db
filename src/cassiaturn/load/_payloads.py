"""Request messages of the example schemas, drawn for the load."""

import random
from collections.abc import Callable

from cassiaturn_examples.kwabena import props_pb2 as props
from cassiaturn_examples.registre import register_pb2 as register

_Payload = Callable[[random.Random], bytes]

METHODS: dict[str, _Payload] = {}
"""What draws a serialized request, by full method name."""

_DIGITS = 1_000_000


def draw_payload(method: str, source: random.Random) -> bytes:
    """Return one serialized request.

    :param method: a key of :data:`METHODS`.
    :param source: where its fields are drawn from.
    """
    return METHODS[method](source)


def _requests(method: str) -> Callable[[_Payload], _Payload]:
    def register_payload(payload: _Payload) -> _Payload:
        METHODS[method] = payload
        return payload

    return register_payload


def _name(kind: str, source: random.Random) -> str:
    return f"{kind}-{source.randrange(_DIGITS):06d}"


@_requests("kwabena.v1.Props/CheckAvailability")
def _availability(source: random.Random) -> bytes:
    request = props.AvailabilityRequest(prop_id=_name("prop", source), branch="osu")
    return request.SerializeToString()


@_requests("kwabena.v1.Props/PriceIllusion")
def _price(source: random.Random) -> bytes:
    request = props.PriceRequest(
        illusion_id=_name("illusion", source), options=[_name("option", source)]
    )
    return request.SerializeToString()


@_requests("kwabena.v1.Props/OrderDeck")
def _order(source: random.Random) -> bytes:
    request = props.OrderRequest(
        deck_id=_name("deck", source), quantity=1, performer=_name("member", source)
    )
    return request.SerializeToString()


@_requests("registre.v1.Register/CheckChassis")
def _chassis(source: random.Random) -> bytes:
    request = register.ChassisRequest(chassis_number=_name("chassis", source))
    return request.SerializeToString()


@_requests("registre.v1.Register/ConfirmEntry")
def _entry(source: random.Random) -> bytes:
    request = register.EntryRequest(
        concours=_name("concours", source),
        member=_name("member", source),
        chassis_number=_name("chassis", source),
    )
    return request.SerializeToString()


@_requests("registre.v1.Register/LookUpMarque")
def _marque(source: random.Random) -> bytes:
    return register.MarqueRequest(marque=_name("marque", source)).SerializeToString()
