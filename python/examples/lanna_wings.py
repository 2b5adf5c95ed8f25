"""Prints the configuration of Lanna Wings Hangar Cooperative Foundation."""

from rhubarbtrail_config import (
    Configuration,
    Customer,
    HistogramKeepAlive,
    Model,
    ModelService,
    PlainService,
    RequestClass,
    Route,
    Store,
    key_hash,
)

MODELS = 50
ADAPTERS = 58


def build() -> Configuration:
    configuration = Configuration().add(
        ModelService(
            "assistant",
            orders="unchecked",
            store=Store(concurrent_loads=4, loads_per_second=2.0),
            keep_alive=HistogramKeepAlive(percentile=95),
        ),
        PlainService(
            "booking",
            routes=[
                Route("/bays/confirm", "booking", method="POST"),
                Route("/bays", "interactive", method="GET"),
            ],
        ),
        RequestClass("default", priority=2, deadline_ms=60_000),
        RequestClass("interactive", priority=1, deadline_ms=20_000),
        RequestClass("booking", priority=0, deadline_ms=20_000, repeat="never"),
        RequestClass("summary", priority=5, deadline_ms=600_000),
        Customer("members", [key_hash("members-key")], models="all", services=["booking"]),
        Customer("charter", [key_hash("charter-key")], models=["hangar-0"], services=["booking"]),
    )
    for number in range(MODELS):
        adapters = {f"field-{number}": 200}
        if number < ADAPTERS - MODELS:
            adapters[f"season-{number}"] = 200
        configuration.add(
            Model(
                f"hangar-{number}",
                service="assistant",
                memory_mb=8_000 + 1_000 * (number % 8),
                expected_load_ms=1_000,
                adapters=adapters,
            )
        )
    return configuration


if __name__ == "__main__":
    print(build().to_yaml())
