"""Prints the configuration of Nóminas Hogareñas del Bajío."""

from rhubarbtrail_config import (
    Configuration,
    CostAwareKeepAlive,
    Customer,
    Model,
    ModelService,
    PlainService,
    RequestClass,
    Route,
    Store,
    key_hash,
)

MODELS = 50
ADAPTERS = 56


def build() -> Configuration:
    configuration = Configuration().add(
        ModelService(
            "language",
            store=Store(concurrent_loads=4, loads_per_second=4.0),
            keep_alive=CostAwareKeepAlive(cold_start_weight=0.5),
        ),
        PlainService(
            "ledger",
            routes=[
                Route("/payments", "payment", method="POST"),
                Route("/balance", "interactive", method="GET"),
            ],
        ),
        RequestClass("default", priority=2, deadline_ms=60_000),
        RequestClass("interactive", priority=1, deadline_ms=20_000),
        RequestClass("payment", priority=0, deadline_ms=20_000, repeat="never"),
        RequestClass("summary", priority=5, deadline_ms=600_000),
        Customer("families", [key_hash("families-key")], models="all", services=["ledger"]),
        Customer("nannies", [key_hash("nannies-key")], models=["payslip-0"], services=["ledger"]),
    )
    for number in range(MODELS):
        adapters = {f"tone-{number}": 200}
        if number < ADAPTERS - MODELS:
            adapters[f"dialect-{number}"] = 200
        configuration.add(
            Model(
                f"payslip-{number}",
                service="language",
                memory_mb=8_000 + 1_000 * (number % 8),
                expected_load_ms=1_000,
                adapters=adapters,
            )
        )
    return configuration


if __name__ == "__main__":
    print(build().to_yaml())
