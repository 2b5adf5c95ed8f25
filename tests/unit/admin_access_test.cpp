/* Authorization of every call of the administration API: without a key, with a wrong key, and with
 * each role. */
#include "core/digest_func.h"
#include "core/httplib_client_func.h"
#include "operator/admin_server.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <set>

using namespace rhubarbtrail;

namespace {

constexpr auto kNoRole = std::optional<OperatorRole>{};
constexpr std::optional kView = OperatorRole::kView;
constexpr std::optional kOperate = OperatorRole::kOperate;
constexpr std::optional kConfigure = OperatorRole::kConfigure;

/* All calls of the API with the role that they require. A test checks that the server registers
 * exactly these calls. */
const std::vector<AdminRoute> kCalls{
  { "GET", "/health", kNoRole },
  { "GET", "/ready", kNoRole },
  { "GET", "/dump", kView },
  { "GET", "/status", kView },
  { "GET", "/metrics", kView },
  { "GET", "/quarantine", kView },
  { "GET", "/configuration", kView },
  { "GET", "/configuration/history", kView },
  { "POST", "/configuration/diff", kView },
  { "POST", "/configuration", kConfigure },
  { "POST", "/log-level", kOperate },
  { "POST", "/drain", kOperate },
  { "POST", "/quarantine/release", kOperate },
};

/* A server on loopback whose table service does not answer. */
class AdminServerFixture
{
public:
  AdminServerFixture()
    : mTable({ .address = "127.0.0.1:1", .timeout = 200ms })
    , mStore(mTable)
    , mSnapshot(std::make_unique<const Snapshot>())
    , mServer({ .keys = { { "viewer", Sha256Hex("view"), OperatorRole::kView },
                          { "operator", Sha256Hex("operate"), OperatorRole::kOperate },
                          { "owner", Sha256Hex("configure"), OperatorRole::kConfigure } } },
              mSnapshot,
              mStore,
              { .dump =
                  [] {
                    return std::vector<DumpEntry>{ { "daemon", "d" } };
                  },
                .metrics = [] { return std::string{ "m 1\n" }; },
                .onConfigurationAccepted = [](const ConfigurationRow&) {},
                .drain = [this] { ++mDrainCount; },
                .releaseFromQuarantine = [](const FingerprintId&) {} })
    , mPort(mServer.Start())
  {
  }

  int Call(const AdminRoute& aCall, const std::string& aAuthorization) const
  {
    HttplibCall call{ .address = "127.0.0.1:" + std::to_string(mPort),
                      .method = aCall.method,
                      .path = aCall.path,
                      .body = aCall.method == "POST" ? "x" : "" };
    if (!aAuthorization.empty()) {
      call.headers.emplace_back("Authorization", aAuthorization);
    }
    const HttplibAnswer answer = SendHttplibCall(call);
    REQUIRE(answer.outcome == HttplibOutcome::kAnswered);
    return answer.status;
  }

  const AdminServer& server() const { return mServer; }
  std::uint16_t port() const { return mPort; }
  int drainCount() const { return mDrainCount; }

private:
  TableClient mTable;
  ConfigurationStore mStore;
  RcuPointer<Snapshot> mSnapshot;
  int mDrainCount = 0;
  AdminServer mServer;
  std::uint16_t mPort;
};

} // namespace

TEST_CASE("The server registers exactly the listed calls with their roles")
{
  const AdminServerFixture fixture;
  std::set<std::string> expected;
  std::set<std::string> registered;
  const auto describe = [](const AdminRoute& aCall) {
    return aCall.method + " " + aCall.path + " " +
           (aCall.requiredRole ? std::to_string(static_cast<int>(*aCall.requiredRole)) : "open");
  };
  for (const AdminRoute& call : kCalls) {
    expected.insert(describe(call));
  }
  for (const AdminRoute& call : fixture.server().routes()) {
    registered.insert(describe(call));
  }
  CHECK(expected == registered);
}

TEST_CASE("Only health and readiness are served without a key, and each role allows only its calls")
{
  const AdminServerFixture fixture;
  const std::vector<std::pair<std::string, OperatorRole>> keys{
    { "Bearer view", OperatorRole::kView },
    { "Bearer operate", OperatorRole::kOperate },
    { "Bearer configure", OperatorRole::kConfigure }
  };
  for (const AdminRoute& call : kCalls) {
    INFO(call.method << " " << call.path);
    for (const std::string wrongHeader :
         { "", "Basic dmlldw==", "Bearer ", "Bearer wrong", "view" }) {
      INFO("with '" << wrongHeader << "'");
      const int expected = wrongHeader == "Bearer wrong" ? 403 : 401;
      const int status = fixture.Call(call, wrongHeader);
      CHECK((call.requiredRole ? status == expected : status != 401 && status != 403));
    }
    for (const auto& [key, role] : keys) {
      const int status = fixture.Call(call, key);
      const bool isAllowed = !call.requiredRole || role >= *call.requiredRole;
      CHECK((status == 403) == !isAllowed);
      CHECK(status != 401);
    }
  }
  CHECK(fixture.drainCount() == 2); // Once with the role operate and once with configure.
}

TEST_CASE("A call that is not registered gets status 404 and has no effect")
{
  const AdminServerFixture fixture;
  CHECK(fixture.Call({ "POST", "/health", {} }, "Bearer configure") == 404);
  CHECK(fixture.Call({ "GET", "/drain", {} }, "Bearer configure") == 404);
  CHECK(fixture.drainCount() == 0);
}

TEST_CASE("Two servers cannot share a port")
{
  const AdminServerFixture fixture;
  TableClient table({ .address = "127.0.0.1:1" });
  const ConfigurationStore store(table);
  const RcuPointer<Snapshot> snapshot(std::make_unique<const Snapshot>());
  AdminServer secondServer({ .port = fixture.port() }, snapshot, store, {});
  CHECK(secondServer.Start() == 0);
}

TEST_CASE("Each invalid file of operator keys gets its error, with line and reason")
{
  struct InvalidKeys
  {
    std::string text;
    std::string error;
  };
  const std::string hash(64, 'a');
  const std::vector<InvalidKeys> cases{
    { "a: b", ":1: must be a list of keys" },
    { "- text", ":1: must be a mapping" },
    { "- {name: a, role: view}", ":1: hash is missing" },
    { "- {name: a, hash: 'plain key', role: view}", ":1: hash must be a SHA-256" },
    { "\n- {name: a, hash: " + hash + ", role: admin}", ":2: role must be view" },
    { "- {name: a, hash: " + hash + ", role: view, more: 1}", ":1: unknown key 'more'" },
    { "- {name: a, hash: " + hash + ", role: view}\n- {name: b, hash: " + hash + ", role: view}",
      ":2: the key of 'a' appears again" },
    { "- {name: 'a b', hash: " + hash + ", role: view}", ":1: name must be" },
    { "- [", "" },
  };
  const std::string file = "operator-keys-" + RandomHex() + ".yaml";
  for (const InvalidKeys& invalid : cases) {
    std::ofstream(file) << invalid.text;
    const auto keys = LoadOperatorKeys(file);
    INFO(invalid.text);
    REQUIRE_FALSE(keys.has_value());
    INFO(keys.error());
    CHECK(keys.error().find(invalid.error) != std::string::npos);
  }
  std::remove(file.c_str());
}
