/* Orders over HTTP and JSON; docs/INTERFACES.md describes the protocol. */
#include "endpoint/order_client.h"

#include "codec/json_codec.h"
#include "core/httplib_client_func.h"

#include <nlohmann/json.hpp>

#include <array>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

constexpr std::array kKindNames{ "inventory", "load_model", "unload_model", "load_adapter" };
/* How long the engine may hold the answer to a question about a running order. */
constexpr Duration kFollowWait = 1s;

OrderOutcome OutcomeOf(const std::string& aState)
{
  if (aState == "done") {
    return OrderOutcome::kDone;
  }
  if (aState == "running") {
    return OrderOutcome::kAccepted;
  }
  if (aState == "fenced") {
    return OrderOutcome::kFenced;
  }
  if (aState == "no_memory") {
    return OrderOutcome::kNoMemory;
  }
  return aState == "failed" ? OrderOutcome::kFailed : OrderOutcome::kUnknown;
}

OrderResult ResultOf(const SendOrder& aOrder, const HttpAnswer& aAnswer)
{
  OrderResult result{ .cell = aOrder.cell,
                      .runner = aOrder.runner,
                      .order = aOrder.order,
                      .outcome = OrderOutcome::kUnknown,
                      .inventory = {} };
  if (aAnswer.outcome == HttpOutcome::kNotConnected) {
    result.outcome = aAnswer.isRefused ? OrderOutcome::kRefused : OrderOutcome::kNotConnected;
    return result;
  }
  if (aAnswer.outcome != HttpOutcome::kAnswered || aAnswer.status != 200) {
    return result;
  }
  try {
    const json body = json::parse(aAnswer.body);
    const bool isOurs = body.at("order") == aOrder.order.str();
    if (body.contains("inventory")) {
      if (auto inventory = DecodeInventory(body["inventory"].dump())) {
        result.inventory = std::move(*inventory);
      }
    }
    result.outcome =
      isOurs ? OutcomeOf(body.at("state").get<std::string>()) : OrderOutcome::kUnknown;
  } catch (const std::exception&) {
    result.outcome = OrderOutcome::kUnknown;
  }
  return result;
}

} // namespace

OrderResult GiveOrder(const OrderClientOptions& aOptions, const SendOrder& aOrder)
{
  const json body{ { "order", aOrder.order.str() },
                   { "kind", kKindNames[static_cast<std::size_t>(aOrder.kind)] },
                   { "fence", aOrder.fence.value },
                   { "issuer", aOptions.issuer.daemon.str() + "." + aOptions.issuer.id.str() },
                   { "model", aOrder.artifact.model.str() },
                   { "adapter", aOrder.artifact.adapter.str() },
                   { "version", aOrder.version },
                   { "memory", aOrder.memory.value } };
  return ResultOf(aOrder,
                  CallHttp({ .address = aOrder.address,
                             .method = "POST",
                             .path = "/orders",
                             .body = body.dump(),
                             .timeout = aOptions.timeout }));
}

OrderResult FollowOrder(const OrderClientOptions& aOptions, const SendOrder& aOrder)
{
  const std::string path =
    "/orders/" + aOrder.order.str() + "?wait_ms=" + std::to_string(kFollowWait / 1ms);
  OrderResult result = ResultOf(aOrder,
                                CallHttp({ .address = aOrder.address,
                                           .path = path,
                                           .body = {},
                                           .timeout = aOptions.timeout + kFollowWait }));
  if (result.outcome == OrderOutcome::kNotConnected || result.outcome == OrderOutcome::kRefused) {
    // The order was taken on, so it may still take effect.
    result.outcome = OrderOutcome::kUnknown;
  }
  return result;
}

} // namespace rhubarbtrail
