"""Decoding of the operators' configuration into a routing table."""

import msgspec

from sesamearch.base.decode import decode_foreign
from sesamearch.routing.table import (
    EngineTraits,
    Organisation,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    ServiceWeight,
)

__all__ = ["CONFIGURATION_KEY", "decode_configuration"]

CONFIGURATION_KEY = b"op/config"
MS_PER_S = 1000.0
# Any other type counts as at-most-once, because it may not be safe to retry.
_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.GENERATION,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    prefix: str
    type: str
    timeout_ms: float
    # Target for the time to the response; for "streaming", to the first event.
    latency_goal_ms: float = 1000.0
    # Target for the longest pause between two events.
    gap_target_ms: float = 1000.0
    priority: int = 5
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename="kebab"):
    slots: int = 1
    # Memory in tokens, shared by running generations and cached prompt parts.
    kv_capacity: int = 0
    # Number of tokens in one event.
    stride: int = 1
    backups: bool = False
    moves: bool = False


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_conns: int = 100
    health_path: str = ""
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="kebab", frozen=True):
    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 30000.0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


_decode = msgspec.json.Decoder(_Configuration, strict=False).decode


def decode_configuration(value):
    """Decode the operators' configuration.

    Parameters
    ----------
    value : bytes
        JSON document.

    Returns
    -------
    result.Result[RoutingTable, str]
        The error says why the configuration cannot be decoded.
    """
    return decode_foreign(_decode_table, value)


def _decode_table(value):
    content = _decode(value)
    organisations = None
    if content.tenants is not None:
        organisations = [
            Organisation(tenant.name, tenant.api_keys, tenant.priority)
            for tenant in content.tenants
        ]
    return RoutingTable(
        content.version,
        [_make_route(route) for route in content.routes],
        [_make_service(service) for service in content.services],
        organisations,
        _make_limits(content.limits),
        value,
    )


def _make_route(route):
    weights = [ServiceWeight(split.service, split.weight) for split in route.split]
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_KINDS.get(route.type, RouteKind.AT_MOST_ONCE),
        services=weights or [ServiceWeight(route.service, 1.0)],
        timeout_s=route.timeout_ms / MS_PER_S,
        latency_goal_s=route.latency_goal_ms / MS_PER_S,
        gap_goal_s=route.gap_target_ms / MS_PER_S,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _make_service(service):
    engine = service.engine
    if engine is None:
        return ServiceSpec(
            service.name, service.max_conns, health_path=service.health_path
        )
    traits = EngineTraits(
        engine.slots,
        engine.kv_capacity,
        engine.stride,
        engine.backups,
        engine.moves,
    )
    return ServiceSpec(service.name, service.max_conns, traits, service.health_path)


def _make_limits(limits):
    return RequestLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / MS_PER_S,
        limits.idle_timeout_ms / MS_PER_S,
    )
