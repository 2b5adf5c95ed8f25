/* Sends orders to runners over HTTP and JSON. docs/INTERFACES.md describes the protocol. */
#include "endpoint/order_client.h"

#include "codec/json_codec.h"
#include "core/httplib_client_func.h"
#include "core/json_text.h"
#include "core/log_func.h"

#include <nlohmann/json.hpp>

#include <array>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

/* Names in the protocol, in the order of the enumerators of OrderKind. */
constexpr std::array kOrderKindNames{ "inventory", "load_model", "unload_model", "load_adapter" };
/* How long the engine may delay its answer to a status request while the order is running. */
constexpr Duration kOrderStatusWait = 1s;

OrderOutcome ParseOrderState(const std::string& aState)
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

OrderResult MakeOrderResult(const SendOrder& aOrder, const HttplibAnswer& aAnswer)
{
  OrderResult result{ .cell = aOrder.cell,
                      .runner = aOrder.runner,
                      .order = aOrder.order,
                      .outcome = OrderOutcome::kUnknown,
                      .inventory = {} };
  if (aAnswer.outcome == HttplibOutcome::kNotConnected) {
    result.outcome =
      aAnswer.isConnectionRefused ? OrderOutcome::kConnectionRefused : OrderOutcome::kNotConnected;
    return result;
  }
  if (aAnswer.outcome != HttplibOutcome::kAnswered || aAnswer.status != 200) {
    return result;
  }
  try {
    const json body = json::parse(aAnswer.body);
    const bool isForThisOrder = body.at("order") == aOrder.order.str();
    if (body.contains("inventory")) {
      if (auto inventory = DecodeInventory(body["inventory"].dump())) {
        result.inventory = std::move(*inventory);
      }
    }
    result.outcome = isForThisOrder ? ParseOrderState(body.at("state").get<std::string>())
                                    : OrderOutcome::kUnknown;
  } catch (const std::exception&) {
    result.outcome = OrderOutcome::kUnknown;
  }
  return result;
}

} // namespace

OrderResult SendOrderToRunner(const OrderClientOptions& aOptions, const SendOrder& aOrder)
{
  const json body{ { "order", aOrder.order.str() },
                   { "kind", kOrderKindNames[static_cast<std::size_t>(aOrder.kind)] },
                   { "fence", aOrder.fence.value },
                   { "issuer", aOptions.issuer.daemon.str() + "." + aOptions.issuer.id.str() },
                   { "model", aOrder.artifact.model.str() },
                   { "adapter", aOrder.artifact.adapter.str() },
                   { "version", aOrder.version },
                   { "memory", aOrder.memory.value } };
  const auto text = EncodeJson(body);
  if (!text) {
    Log(log_part::kScheduler)->error("An order is not sent: {}.", text.error());
    return { .cell = aOrder.cell,
             .runner = aOrder.runner,
             .order = aOrder.order,
             .outcome = OrderOutcome::kFailed,
             .inventory = {} };
  }
  return MakeOrderResult(aOrder,
                         SendHttplibCall({ .address = aOrder.address,
                                           .method = "POST",
                                           .path = "/orders",
                                           .body = *text,
                                           .timeout = aOptions.timeout }));
}

OrderResult WaitForOrder(const OrderClientOptions& aOptions, const SendOrder& aOrder)
{
  const std::string path =
    "/orders/" + aOrder.order.str() + "?wait_ms=" + std::to_string(kOrderStatusWait / 1ms);
  OrderResult result =
    MakeOrderResult(aOrder,
                    SendHttplibCall({ .address = aOrder.address,
                                      .path = path,
                                      .body = {},
                                      .timeout = aOptions.timeout + kOrderStatusWait }));
  if (result.outcome == OrderOutcome::kNotConnected ||
      result.outcome == OrderOutcome::kConnectionRefused) {
    // The runner had accepted the order, so the order may still take effect.
    result.outcome = OrderOutcome::kUnknown;
  }
  return result;
}

} // namespace rhubarbtrail
