/* Messages between daemons over real connections. A socket with a full send buffer takes only a
 * part of a message. The rest must follow when the peer has read, and no message may be lost. */
#include "peer/peer_transport.h"

#include <doctest/doctest.h>

#include <chrono>
#include <mutex>
#include <set>
#include <thread>

namespace rhubarbtrail {

namespace {

/* Collects the versions of the received configurations. It pauses before each message, as a slow
 * peer does. */
class SlowReceiver
{
public:
  explicit SlowReceiver(std::chrono::milliseconds aPause)
    : mTransport({},
                 [this, aPause](const Envelope& aEnvelope) {
                   std::this_thread::sleep_for(aPause);
                   const std::lock_guard lock(mMutex);
                   mVersions.insert(std::get<ConfigurationMessage>(aEnvelope.message).row.version);
                 })
    , mPort(mTransport.Start())
  {
  }
  ~SlowReceiver() { mTransport.Stop(); }
  SlowReceiver(const SlowReceiver&) = delete;
  SlowReceiver& operator=(const SlowReceiver&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(mPort); }

  /* Waits until this many different versions have arrived. Returns false after about 10 s. */
  bool WaitFor(std::size_t aCount)
  {
    for (int step = 0; step < 500; ++step) {
      {
        const std::lock_guard lock(mMutex);
        if (mVersions.size() >= aCount) {
          return true;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    }
    return false;
  }

private:
  std::mutex mMutex;
  std::set<ConfigVersion> mVersions;
  PeerTransport mTransport;
  std::uint16_t mPort;
};

} // namespace

TEST_CASE("messages that exceed a socket's buffer reach a peer that reads slowly")
{
  struct Case
  {
    const char* name;
    std::size_t messageCount;
    std::size_t documentBytes;
  };
  for (const Case& item : { Case{ "many small", 500, 100 }, Case{ "large", 1, 7U << 20U } }) {
    CAPTURE(item.name);
    SlowReceiver receiver(std::chrono::milliseconds{ 1 });
    PeerTransport sender({ .responseTimeout = 10s }, [](const Envelope&) {});
    REQUIRE(sender.Start() != 0);
    for (std::size_t number = 1; number <= item.messageCount; ++number) {
      const ConfigurationRow row{ .version = { number },
                                  .document = std::string(item.documentBytes, 'x') };
      sender.Send(
        receiver.address(),
        { .from = {}, .senderConfigVersion = {}, .message = ConfigurationMessage{ row } });
    }
    CHECK(receiver.WaitFor(item.messageCount));
    CHECK(sender.counters().lostMessages == 0);
    sender.Stop();
  }
}

} // namespace rhubarbtrail
