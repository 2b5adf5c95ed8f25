"""Builds rhubarbtrail configuration documents.

A program declares services, models, request classes and customers, and prints the document:
wrong values fail where they are written.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from typing import Any, Literal, Optional, Union

import yaml

_NAME = re.compile(r"^[^/\s]{1,128}$")


def key_hash(key: str) -> str:
    """Returns what a document stores of an API key: its SHA-256."""
    return hashlib.sha256(key.encode()).hexdigest()


def _check_name(name: str) -> None:
    if not _NAME.match(name):
        raise ValueError(f"{name!r} is not a name: 1 to 128 characters, no slash, no blank")


def _check_positive(**values: float) -> None:
    for name, value in values.items():
        if value <= 0:
            raise ValueError(f"{name} must be positive, not {value}")


@dataclass(frozen=True)
class FixedKeepAlive:
    """Unloads a replica that was idle for a fixed time."""

    idle_limit_ms: int = 60_000

    def __post_init__(self) -> None:
        _check_positive(idle_limit_ms=self.idle_limit_ms)

    def to_dict(self) -> dict[str, Any]:
        return {"policy": "fixed", "idle_limit_ms": self.idle_limit_ms}


@dataclass(frozen=True)
class HistogramKeepAlive:
    """Unloads a replica after a percentile of the idle times seen for its model."""

    percentile: int = 90
    minimum_ms: int = 5_000
    maximum_ms: int = 600_000

    def __post_init__(self) -> None:
        if not 1 <= self.percentile <= 99:
            raise ValueError("percentile must be 1 to 99")
        if self.minimum_ms > self.maximum_ms:
            raise ValueError("minimum_ms is larger than maximum_ms")

    def to_dict(self) -> dict[str, Any]:
        return {
            "policy": "histogram",
            "percentile": self.percentile,
            "minimum_ms": self.minimum_ms,
            "maximum_ms": self.maximum_ms,
        }


@dataclass(frozen=True)
class CostAwareKeepAlive:
    """Weighs the cold start that is avoided against the memory that is held."""

    cold_start_weight: float = 1.0

    def __post_init__(self) -> None:
        _check_positive(cold_start_weight=self.cold_start_weight)

    def to_dict(self) -> dict[str, Any]:
        return {"policy": "cost_aware", "cold_start_weight": self.cold_start_weight}


KeepAlive = Union[FixedKeepAlive, HistogramKeepAlive, CostAwareKeepAlive]


@dataclass(frozen=True)
class Store:
    """Limits of the weight store."""

    concurrent_loads: int = 4
    loads_per_second: float = 4.0
    adapters_in_transit: int = 32

    def __post_init__(self) -> None:
        _check_positive(
            concurrent_loads=self.concurrent_loads,
            loads_per_second=self.loads_per_second,
            adapters_in_transit=self.adapters_in_transit,
        )

    def to_dict(self) -> dict[str, Any]:
        return dict(vars(self))


@dataclass(frozen=True)
class ModelService:
    """A service whose runners load models on order."""

    name: str
    orders: Literal["checked", "unchecked"] = "checked"
    endpoint_concurrency: int = 16
    runner_memory_mb: int = 80_000
    kv_cache_reserve_mb: int = 16_000
    store: Store = Store()
    keep_alive: KeepAlive = FixedKeepAlive()

    def __post_init__(self) -> None:
        _check_name(self.name)
        if self.orders not in ("checked", "unchecked"):
            raise ValueError("orders must be 'checked' or 'unchecked'")
        if self.kv_cache_reserve_mb >= self.runner_memory_mb:
            raise ValueError("kv_cache_reserve_mb leaves no memory for weights")

    def to_dict(self) -> dict[str, Any]:
        return {
            "kind": "models",
            "orders": self.orders,
            "endpoint_concurrency": self.endpoint_concurrency,
            "runner_memory_mb": self.runner_memory_mb,
            "kv_cache_reserve_mb": self.kv_cache_reserve_mb,
            "store": self.store.to_dict(),
            "keep_alive": self.keep_alive.to_dict(),
        }


@dataclass(frozen=True)
class Route:
    """Assigns a request class to the calls under a path."""

    path: str
    request_class: str
    method: Optional[str] = None

    def __post_init__(self) -> None:
        if not self.path.startswith("/"):
            raise ValueError("a route's path starts with a slash")

    def to_dict(self) -> dict[str, Any]:
        entry = {"path": self.path, "class": self.request_class}
        if self.method is not None:
            entry["method"] = self.method
        return entry


@dataclass(frozen=True)
class PlainService:
    """A service that answers HTTP calls and takes no orders."""

    name: str
    routes: list[Route]
    endpoint_concurrency: int = 64

    def __post_init__(self) -> None:
        _check_name(self.name)

    def to_dict(self) -> dict[str, Any]:
        return {
            "kind": "plain",
            "endpoint_concurrency": self.endpoint_concurrency,
            "routes": [route.to_dict() for route in self.routes],
        }


@dataclass(frozen=True)
class Model:
    """A model, with the memory of each of its adapters."""

    name: str
    service: str
    memory_mb: int
    version: str = "1"
    expected_load_ms: int = 5_000
    max_replicas: int = 1
    adapters: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_positive(memory_mb=self.memory_mb, max_replicas=self.max_replicas)

    def to_dict(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "version": self.version,
            "memory_mb": self.memory_mb,
            "expected_load_ms": self.expected_load_ms,
            "max_replicas": self.max_replicas,
            "adapters": {name: {"memory_mb": mb} for name, mb in self.adapters.items()},
        }


@dataclass(frozen=True)
class RequestClass:
    """How urgent a kind of request is, and whether it may run twice."""

    name: str
    priority: int = 1
    deadline_ms: int = 30_000
    repeat: Literal["allowed", "never"] = "allowed"

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_positive(deadline_ms=self.deadline_ms)
        if self.repeat not in ("allowed", "never"):
            raise ValueError("repeat must be 'allowed' or 'never'")

    def to_dict(self) -> dict[str, Any]:
        return {"priority": self.priority, "deadline_ms": self.deadline_ms, "repeat": self.repeat}


@dataclass(frozen=True)
class Customer:
    """Who may call what, with the hashes of its API keys."""

    name: str
    key_hashes: list[str]
    models: Union[Literal["all"], list[str]] = "all"
    services: list[str] = field(default_factory=list)
    weight: int = 1
    queue_limit: int = 256

    def __post_init__(self) -> None:
        _check_name(self.name)
        for value in self.key_hashes:
            if not re.fullmatch(r"[0-9a-f]{64}", value):
                raise ValueError("a key hash is made by key_hash()")

    def to_dict(self) -> dict[str, Any]:
        return {
            "key_hashes": self.key_hashes,
            "models": self.models,
            "services": self.services,
            "weight": self.weight,
            "queue_limit": self.queue_limit,
        }


class Configuration:
    """A whole configuration; add() refuses names that appear twice."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[str, Any]] = {
            "services": {},
            "models": {},
            "classes": {},
            "customers": {},
        }

    def add(
        self, *parts: Union[ModelService, PlainService, Model, RequestClass, Customer]
    ) -> "Configuration":
        sections = {
            ModelService: "services",
            PlainService: "services",
            Model: "models",
            RequestClass: "classes",
            Customer: "customers",
        }
        for part in parts:
            section = sections[type(part)]
            if part.name in self._parts[section]:
                raise ValueError(f"{section}: {part.name!r} appears twice")
            self._parts[section][part.name] = part.to_dict()
        return self

    def to_yaml(self) -> str:
        """Returns the document."""
        return yaml.safe_dump(self._parts, sort_keys=False)
