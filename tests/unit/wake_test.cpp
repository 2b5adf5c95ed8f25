/* Work that is overdue is done at the next event of any kind. In a busy daemon, other events can be
 * handled before the timer's, and the work, here a heartbeat, must not be delayed further. */
#include "decision/decision.h"

#include <doctest/doctest.h>

#include <memory>

using namespace rhubarbtrail;

TEST_CASE("an event that arrives before an overdue wake-up also does the due work")
{
  Node node({ .self = { DaemonId{ "d0" }, IncarnationId{ "1" } },
              .zone = ZoneId{ "a" },
              .settings = {},
              .disabledMechanisms = {} });
  TimePoint now{ 1h };
  TimePoint wake = TimePoint::max();
  int heartbeats = 0;
  const auto apply = [&](const Event& aEvent) {
    for (const Action& action : node.Apply(now, aEvent)) {
      if (const auto* wakeAt = std::get_if<WakeAt>(&action)) {
        wake = wakeAt->time;
      }
      const auto* sent = std::get_if<SendMessage>(&action);
      heartbeats += sent != nullptr && std::holds_alternative<HeartbeatMessage>(sent->message);
    }
  };
  auto configuration = std::make_shared<Configuration>();
  configuration->version = { 1 };
  const ServiceId service{ "s" };
  configuration->services[service] = { .id = service, .kind = ServiceKind::kPlain, .routes = {} };
  configuration->classes[ClassId{ "k" }] = { .id = ClassId{ "k" } };
  configuration->customers[CustomerId{ "c" }] = {
    .id = CustomerId{ "c" }, .keyHashes = {}, .models = {}, .services = { service }
  };
  apply(ConfigurationLoaded{ { .version = { 1 }, .document = {}, .author = {}, .comment = {} },
                             configuration });
  apply(HostListReceived{ { { .id = "e",
                              .bootId = "b",
                              .service = service,
                              .zone = ZoneId{ "a" },
                              .address = "127.0.0.1:1" },
                            { .kind = HostKind::kDaemon,
                              .id = "d1",
                              .bootId = {},
                              .service = {},
                              .zone = {},
                              .address = "127.0.0.1:2" } } });
  apply(MessageReceived{
    { DaemonId{ "d1" }, IncarnationId{ "1" } }, { 1 }, HeartbeatMessage{ { 1 }, true } });
  apply(Wake{});
  REQUIRE(wake < TimePoint::max());
  const TimePoint due = wake;
  heartbeats = 0;
  now = due + 1ms;
  apply(RequestArrived{ .request = RequestId{ "q" },
                        .customer = CustomerId{ "c" },
                        .service = service,
                        .artifact = {},
                        .requestClass = ClassId{ "k" },
                        .key = {},
                        .fingerprint = {} });
  CHECK(heartbeats == 1);
  CHECK(wake > now);
}
