"""Builds rhubarbtrail configuration documents.

A program declares services, models, request classes and customers, and prints the document. A
wrong value raises ValueError or TypeError in the constructor that it is passed to, or in add().
References that may point forward are checked by to_yaml().
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from typing import Any, Literal, Optional, Union

import yaml

_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")
_DAY_MS = 86_400_000
_MEMORY_LIMIT_MB = 10_000_000
_METHODS = ("DELETE", "GET", "PATCH", "POST", "PUT")


def key_hash(key: str) -> str:
    """Returns the SHA-256 of an API key in hex, which a document has in place of the key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _check_name(name: str) -> None:
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise ValueError(f"{name!r} is not a name: 1 to 128 letters, digits, '.', '_', '-'")


def _check_number(low: float, high: float, **values: float) -> None:
    """Checks the type and the bounds of numbers; a float is accepted only if low is a float."""
    accepted_types = (int, float) if isinstance(low, float) else (int,)
    for name, value in values.items():
        if not isinstance(value, accepted_types) or isinstance(value, bool):
            raise TypeError(f"{name} must be a number, not {value!r}")
        if not low <= value <= high:
            raise ValueError(f"{name} must be {low} to {high}, not {value}")


def _check_choice(choices: tuple[str, ...], **values: str) -> None:
    for name, value in values.items():
        if value not in choices:
            raise ValueError(f"{name} must be one of {', '.join(choices)}, not {value!r}")


def _check_names(**values: list[str]) -> None:
    for name, value in values.items():
        if not isinstance(value, list):
            raise TypeError(f"{name} must be a list, not {value!r}")
        for item in value:
            _check_name(item)
        if len(set(value)) != len(value):
            raise ValueError(f"{name} names something twice")


class _Dumper(yaml.SafeDumper):
    """Writes repeated values in full, where YAML would write an alias."""

    def ignore_aliases(self, data: Any) -> bool:
        return True


@dataclass(frozen=True)
class FixedKeepAlive:
    """Unloads a replica that has been idle for a fixed time."""

    idle_limit_ms: int = 60_000

    def __post_init__(self) -> None:
        _check_number(1, _DAY_MS, idle_limit_ms=self.idle_limit_ms)

    def to_dict(self) -> dict[str, Any]:
        return {"policy": "fixed", "idle_limit_ms": self.idle_limit_ms}


@dataclass(frozen=True)
class HistogramKeepAlive:
    """Unloads a replica after a percentile of the observed idle times of its model.

    The time is kept between minimum_ms and maximum_ms.
    """

    percentile: int = 90
    minimum_ms: int = 5_000
    maximum_ms: int = 600_000

    def __post_init__(self) -> None:
        _check_number(1, 99, percentile=self.percentile)
        _check_number(1, _DAY_MS, minimum_ms=self.minimum_ms, maximum_ms=self.maximum_ms)
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
    """Weighs the cost of a cold start against the memory that an idle replica occupies."""

    cold_start_weight: float = 1.0

    def __post_init__(self) -> None:
        _check_number(0.001, 1_000.0, cold_start_weight=self.cold_start_weight)

    def to_dict(self) -> dict[str, Any]:
        return {"policy": "cost_aware", "cold_start_weight": self.cold_start_weight}


KeepAlive = Union[FixedKeepAlive, HistogramKeepAlive, CostAwareKeepAlive]


@dataclass(frozen=True)
class Store:
    """Limits on loads from the store of model weights."""

    concurrent_loads: int = 4
    loads_per_second: float = 4.0
    adapters_in_transit: int = 32

    def __post_init__(self) -> None:
        _check_number(0.01, 1_000.0, loads_per_second=self.loads_per_second)
        _check_number(
            1,
            1_000,
            concurrent_loads=self.concurrent_loads,
            adapters_in_transit=self.adapters_in_transit,
        )

    def to_dict(self) -> dict[str, Any]:
        return dict(vars(self))


@dataclass(frozen=True)
class ModelService:
    """A service whose runners load models on the orders of the daemons.

    orders is "checked" if the runners check the fencing token of each order.
    """

    name: str
    orders: Literal["checked", "unchecked"] = "checked"
    endpoint_concurrency: int = 16
    runner_memory_mb: int = 80_000
    kv_cache_reserve_mb: int = 16_000
    store: Store = Store()
    keep_alive: KeepAlive = FixedKeepAlive()
    drained: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_names(drained=self.drained)
        _check_choice(("checked", "unchecked"), orders=self.orders)
        _check_number(1, 10_000, endpoint_concurrency=self.endpoint_concurrency)
        _check_number(
            1,
            _MEMORY_LIMIT_MB,
            runner_memory_mb=self.runner_memory_mb,
            kv_cache_reserve_mb=self.kv_cache_reserve_mb,
        )
        if self.kv_cache_reserve_mb >= self.runner_memory_mb:
            raise ValueError("kv_cache_reserve_mb leaves no memory for weights")

    def to_dict(self) -> dict[str, Any]:
        return {
            "kind": "models",
            "orders": self.orders,
            "endpoint_concurrency": self.endpoint_concurrency,
            "runner_memory_mb": self.runner_memory_mb,
            "kv_cache_reserve_mb": self.kv_cache_reserve_mb,
            "drained": self.drained,
            "store": self.store.to_dict(),
            "keep_alive": self.keep_alive.to_dict(),
        }


@dataclass(frozen=True)
class Route:
    """Assigns a request class to the requests whose path starts with path.

    Without method the route applies to all methods.
    """

    path: str
    request_class: str
    method: Optional[str] = None

    def __post_init__(self) -> None:
        if not self.path.startswith("/"):
            raise ValueError("a route's path starts with a slash")
        if re.search(r"[ ?#]", self.path):
            raise ValueError("a route's path has no blank, question mark or hash")
        _check_name(self.request_class)
        if self.method is not None:
            _check_choice(_METHODS, method=self.method)

    def to_dict(self) -> dict[str, Any]:
        entry = {"path": self.path, "class": self.request_class}
        if self.method is not None:
            entry["method"] = self.method
        return entry


@dataclass(frozen=True)
class PlainService:
    """A service whose endpoints answer HTTP requests and load no models.

    The first route that matches a request applies.
    """

    name: str
    routes: list[Route]
    endpoint_concurrency: int = 64
    drained: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_names(drained=self.drained)
        _check_number(1, 10_000, endpoint_concurrency=self.endpoint_concurrency)
        if not self.routes:
            raise ValueError("a plain service needs at least one route")
        for index, route in enumerate(self.routes):
            for earlier in self.routes[:index]:
                covers = earlier.method in (None, route.method)
                if covers and route.path.startswith(earlier.path):
                    raise ValueError(f"{route} is never reached: {earlier} comes first")

    def to_dict(self) -> dict[str, Any]:
        return {
            "kind": "plain",
            "endpoint_concurrency": self.endpoint_concurrency,
            "drained": self.drained,
            "routes": [route.to_dict() for route in self.routes],
        }


@dataclass(frozen=True)
class Model:
    """A model; adapters has the memory of each adapter in MB by name."""

    name: str
    service: str
    memory_mb: int
    version: str = "1"
    expected_load_ms: int = 5_000
    max_replicas: int = 1
    adapters: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_name(self.service)
        _check_number(1, _MEMORY_LIMIT_MB, memory_mb=self.memory_mb)
        _check_number(1, 1_000, max_replicas=self.max_replicas)
        _check_number(1, _DAY_MS, expected_load_ms=self.expected_load_ms)
        for name, memory_mb in self.adapters.items():
            _check_name(name)
            _check_number(1, _MEMORY_LIMIT_MB, adapter_memory_mb=memory_mb)
        if not isinstance(self.version, str) or not 1 <= len(self.version) <= 1_024:
            raise TypeError(f"version must be a text, not {self.version!r}")

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
    """The priority and the deadline of a class of requests, and whether they may run twice.

    Priority 0 is the most urgent.
    """

    name: str
    priority: int = 1
    deadline_ms: int = 30_000
    repeat: Literal["allowed", "never"] = "allowed"

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_number(0, 9, priority=self.priority)
        _check_number(1, _DAY_MS, deadline_ms=self.deadline_ms)
        _check_choice(("allowed", "never"), repeat=self.repeat)

    def to_dict(self) -> dict[str, Any]:
        return {"priority": self.priority, "deadline_ms": self.deadline_ms, "repeat": self.repeat}


@dataclass(frozen=True)
class Customer:
    """A customer with the hashes of its API keys, and the models and services that it may use."""

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
        if not self.key_hashes:
            raise ValueError("a customer needs at least one key hash")
        if self.models != "all":
            _check_names(models=self.models)
        _check_names(services=self.services)
        if not self.models and not self.services:
            raise ValueError("a customer needs something that it may call")
        _check_number(1, 1_000, weight=self.weight)
        _check_number(1, 1_000_000, queue_limit=self.queue_limit)

    def to_dict(self) -> dict[str, Any]:
        return {
            "key_hashes": self.key_hashes,
            "models": self.models,
            "services": self.services,
            "weight": self.weight,
            "queue_limit": self.queue_limit,
        }


class Configuration:
    """A complete configuration. add() raises ValueError for a name that appears twice."""

    def __init__(self) -> None:
        self._sections: dict[str, dict[str, Any]] = {
            "services": {},
            "models": {},
            "classes": {},
            "customers": {},
        }

    def add(
        self, *parts: Union[ModelService, PlainService, Model, RequestClass, Customer]
    ) -> "Configuration":
        section_of_type = {
            ModelService: "services",
            PlainService: "services",
            Model: "models",
            RequestClass: "classes",
            Customer: "customers",
        }
        for part in parts:
            section = section_of_type[type(part)]
            if part.name in self._sections[section]:
                raise ValueError(f"{section}: {part.name!r} appears twice")
            self._sections[section][part.name] = part.to_dict()
        for part in parts:
            if isinstance(part, Model):
                self._check_model(part)
            elif isinstance(part, Customer):
                self._check_keys(part)
        return self

    def _check_model(self, model: Model) -> None:
        """Checks that the service was added before its model and that the model fits a runner.

        The model has to fit together with all of its adapters.
        """
        service = self._sections["services"].get(model.service)
        if service is None or service["kind"] != "models":
            raise ValueError(f"{model.name}: there is no model service {model.service!r} yet")
        needed = model.memory_mb + sum(model.adapters.values())
        available = service["runner_memory_mb"] - service["kv_cache_reserve_mb"]
        if needed > available:
            raise ValueError(f"{model.name}: needs {needed} MB, a runner has {available} MB")

    def _check_keys(self, customer: Customer) -> None:
        for name, other in self._sections["customers"].items():
            if name != customer.name and set(other["key_hashes"]) & set(customer.key_hashes):
                raise ValueError(f"{customer.name}: shares a key with {name}")

    def _check_references(self) -> None:
        """Checks the references that may name a part added later."""
        for name, service in self._sections["services"].items():
            for route in service.get("routes", []):
                if route["class"] not in self._sections["classes"]:
                    raise ValueError(f"{name}: there is no class {route['class']!r}")
        for name, customer in self._sections["customers"].items():
            models = [] if customer["models"] == "all" else customer["models"]
            for model in models:
                if model not in self._sections["models"]:
                    raise ValueError(f"{name}: there is no model {model!r}")
            for service in customer["services"]:
                if self._sections["services"].get(service, {}).get("kind") != "plain":
                    raise ValueError(f"{name}: there is no plain service {service!r}")
        if self._sections["models"] and "default" not in self._sections["classes"]:
            raise ValueError("the class 'default' is needed for requests that name none")

    def to_yaml(self) -> str:
        """Returns the document. Raises ValueError for a reference to a missing part."""
        self._check_references()
        return yaml.dump(self._sections, Dumper=_Dumper, sort_keys=False)
