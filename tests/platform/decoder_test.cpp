/* Decoders of the platform adapter, with valid, malformed and truncated documents. */
#include "platform/configuration_decoder.h"
#include "platform/request_headers.h"
#include "platform/runner_decoder.h"
#include "platform/store_codec.h"

#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::platform;

namespace {

const std::string kRunnerEntry =
  R"({"backend":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,)"
  R"("state":"ready","coldLeftMs":0,"models":[{"name":"m1","version":1,"adapters":["a1@2","a3"]}],)"
  R"("seq":4,"born":17,"atHand":{"inMemory":["m1"],"onDisk":["m1","m2"]}})";

const std::string kConfiguration =
  R"({"version":7,"routes":[)"
  R"({"name":"r1","host":"h","prefix":"/a/","kind":"streaming","timeoutMs":20000,)"
  R"("targetLatencyMs":3000,"priority":1,"backend":"s1","maxAttempts":2,"sticky":true,)"
  R"("resumable":true,"gapAimMs":300},)"
  R"({"name":"r2","host":"h","prefix":"/a/b/","kind":"non_idempotent","timeoutMs":800,)"
  R"("targetLatencyMs":100,"priority":2,"weightedBackends":[{"backend":"s1","weight":90},)"
  R"({"backend":"s2","weight":10}],"maxAttempts":1}],)"
  R"("services":[{"name":"s1","healthPath":"/healthz","maxConns":360,"engine":{"slots":64,)"
  R"("kvTokens":1000,"models":[{"name":"m1","weightsMb":65099.99,"loadTimeS":6.0,"adapters":2,)"
  R"("adapterMb":12.0,"warmS":0.76,"diskS":0.99}],"weightsMb":220000.0,"adapterSlots":8,)"
  R"("loadsPerS":3.8}},{"name":"s2","healthPath":"/healthz","maxConns":100}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
  R"("idleTimeoutMs":15000}})";

/* Returns the text with the first occurrence of a part replaced. */
std::string ReplacePart(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const auto position = aText.find(aOld);
  REQUIRE(position != std::string::npos);
  return aText.replace(position, aOld.size(), aNew);
}

} // namespace

TEST_CASE("a runner entry is decoded")
{
  const auto entry = DecodeRunnerEntry("i-1", kRunnerEntry);
  REQUIRE(entry.has_value());
  CHECK(entry->service == ServiceId{ "s1" });
  CHECK(entry->slots == 64);
  CHECK(entry->startedAtMs == 17);
  CHECK(entry->writeNumber == 4);
  CHECK(entry->softwareVersion == SoftwareVersion{ "v1" });
  CHECK(entry->holdings.models ==
        fleet::LoadedModels{ { { ModelId{ "m1" }, { AdapterId{ "a1" }, AdapterId{ "a3" } } } } });
  CHECK(entry->holdings.onDisk.size() == 2);
}

TEST_CASE("a runner entry with a missing, unknown or wrongly typed member is rejected")
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { "not JSON", "{" },
    { "bytes", std::string("\xff\x00\x01", 3) },
    { "a list", "[]" },
    { "empty", "" },
    { "no service", ReplacePart(kRunnerEntry, R"("backend":"s1",)", "") },
    { "service is a number", ReplacePart(kRunnerEntry, R"("backend":"s1")", R"("backend":1)") },
    { "address without port", ReplacePart(kRunnerEntry, "10.0.0.9:8080", "10.0.0.9") },
    { "port beyond the range", ReplacePart(kRunnerEntry, "10.0.0.9:8080", "10.0.0.9:70000") },
    { "port 0", ReplacePart(kRunnerEntry, "10.0.0.9:8080", "10.0.0.9:0") },
    { "port of 20 digits",
      ReplacePart(kRunnerEntry, "10.0.0.9:8080", "10.0.0.9:18446744073709551617") },
    { "negative port", ReplacePart(kRunnerEntry, "10.0.0.9:8080", "10.0.0.9:-1") },
    { "half an IPv6 address", ReplacePart(kRunnerEntry, "10.0.0.9:8080", "[::1") },
    { "address is a name", ReplacePart(kRunnerEntry, "10.0.0.9:8080", "localhost:8080") },
    { "slots beyond 32 bits", ReplacePart(kRunnerEntry, R"("slots":64)", R"("slots":4294967296)") },
    { "born beyond 63 bits",
      ReplacePart(kRunnerEntry, R"("born":17)", R"("born":18446744073709551615)") },
    { "seq beyond 64 bits",
      ReplacePart(kRunnerEntry, R"("seq":4)", R"("seq":36893488147419103232)") },
    { "a number beyond all types", ReplacePart(kRunnerEntry, R"("slots":64)", R"("slots":1e999)") },
    { "deeply nested",
      ReplacePart(kRunnerEntry, R"("coldLeftMs":0)", R"("x":)" + std::string(60'000, '[')) },
    { "address is a list", ReplacePart(kRunnerEntry, R"("10.0.0.9:8080")", "[]") },
    { "unknown state", ReplacePart(kRunnerEntry, R"("ready")", R"("sleeping")") },
    { "state is null", ReplacePart(kRunnerEntry, R"("ready")", "null") },
    { "negative slots", ReplacePart(kRunnerEntry, R"("slots":64)", R"("slots":-1)") },
    { "slots is a text", ReplacePart(kRunnerEntry, R"("slots":64)", R"("slots":"64")") },
    { "no software version", ReplacePart(kRunnerEntry, R"("version":"v1",)", "") },
    { "software version is a number",
      ReplacePart(kRunnerEntry, R"("version":"v1")", R"("version":1)") },
    { "models is a text", ReplacePart(kRunnerEntry, R"([{"name":"m1")", R"(["m1",{"name":"m1")") },
    { "adapters is a number", ReplacePart(kRunnerEntry, R"(["a1@2","a3"])", "3") },
    { "born is a text", ReplacePart(kRunnerEntry, R"("born":17)", R"("born":"x")") },
    { "a service whose name is too long",
      ReplacePart(kRunnerEntry, R"("s1")", '"' + std::string(257, 's') + '"') },
    { "coming has a model without an adapter",
      ReplacePart(kRunnerEntry, R"("coldLeftMs":0)", R"("coming":["m1"])") },
    { "onDisk holds numbers", ReplacePart(kRunnerEntry, R"(["m1","m2"])", "[1,2]") },
  };
  for (const auto& [name, document] : cases) {
    INFO(name);
    CHECK_FALSE(DecodeRunnerEntry("i-1", document).has_value());
  }
}

// Each daemon remembers versions for minutes, and the lease row names them.
TEST_CASE("a long software version of a runner is held as its digest")
{
  const auto versionOf = [](const std::string& aVersion) {
    return DecodeRunnerEntry("i-1", ReplacePart(kRunnerEntry, R"("v1")", '"' + aVersion + '"'))
      .value()
      .softwareVersion.str();
  };
  const std::string longest(128, 'v');
  CHECK(versionOf(longest) == longest);
  CHECK(versionOf(longest + "1").size() < longest.size());
  CHECK(versionOf(longest + "1") == versionOf(longest + "1"));
  CHECK(versionOf(longest + "1") != versionOf(longest + "2"));
}

// The key becomes a header field of requests, so a line end in it would add fields to them.
TEST_CASE("a runner entry whose key is not a name is rejected")
{
  for (const char* key : { "", "i-1\r\nX-Model: m", "i-1\x01", "i-\xff" }) {
    CHECK_FALSE(DecodeRunnerEntry(key, kRunnerEntry).has_value());
  }
}

// Sums of such a time and a point in time overflow, and a leaving runner would count as present.
TEST_CASE("a time until the stop beyond any limit is shortened")
{
  const auto entry = DecodeRunnerEntry(
    "i-1", ReplacePart(kRunnerEntry, R"("coldLeftMs":0)", R"("remainingMs":1e300)"));
  REQUIRE(entry.has_value());
  CHECK(*entry->timeUntilStop > 24h);
  CHECK(*entry->timeUntilStop < 200'000h);
}

TEST_CASE("every truncation of a runner entry or a configuration is rejected without an exception")
{
  for (std::size_t length = 0; length < kRunnerEntry.size(); ++length) {
    CHECK_FALSE(DecodeRunnerEntry("i-1", kRunnerEntry.substr(0, length)).has_value());
  }
  for (std::size_t length = 0; length < kConfiguration.size(); ++length) {
    CHECK_FALSE(DecodeConfiguration(kConfiguration.substr(0, length)).has_value());
  }
}

TEST_CASE("a runner report holds the number of orders and the loading adapters")
{
  const auto report = DecodeRunnerReport(
    R"({"stage":"combined","models":[{"name":"m1","version":1,"adapters":[]}],"busy":true,)"
    R"("seq":2,"waiting":1,"running":12,"kvUsed":41000,"kvTotal":90000,"coming":["m1/a2@1"]})");
  REQUIRE(report.has_value());
  CHECK(report->isBusy);
  CHECK(report->orderCount == 2);
  CHECK(report->holdings.loadingAdapters.size() == 1);
}

TEST_CASE("a configuration is decoded")
{
  const auto configuration = DecodeConfiguration(kConfiguration);
  REQUIRE(configuration.has_value());
  CHECK(configuration->version.value == 7);
  const fleet::Route* route = configuration->Match("h", "/a/b/c");
  REQUIRE(route != nullptr);
  CHECK(route->name == "r2");
  CHECK(route->kind == fleet::RouteKind::kNonIdempotent);
  CHECK(route->services.size() == 2);
  CHECK_FALSE(route->MayRepeatOrResume());
  const fleet::Service* service = configuration->Find(ServiceId{ "s1" });
  REQUIRE(service != nullptr);
  REQUIRE(service->engine.has_value());
  CHECK(service->engine->models.at(ModelId{ "m1" }).weights.value == 65'100);
  CHECK(service->engine->models.at(ModelId{ "m1" }).diskLoadTime == 990ms);
  CHECK_FALSE(configuration->Find(ServiceId{ "s2" })->engine.has_value());
}

/* The platform may add kinds of routes. A request of an unknown kind may have effects, so running
 * it twice could do harm. */
TEST_CASE("a route of unknown kind may be neither repeated nor resumed")
{
  const auto configuration =
    DecodeConfiguration(ReplacePart(kConfiguration, R"("streaming")", R"("something_new")"));
  REQUIRE(configuration.has_value());
  CHECK_FALSE(configuration->Match("h", "/a/x")->MayRepeatOrResume());
}

/* A client must not set fields by which a daemon controls an endpoint. Connection fields concern
 * only the connection between client and daemon, including those that Connection names. */
TEST_CASE("daemon-only and connection fields of a client are not forwarded, and all others are")
{
  const http::Request request{ .method = "POST",
                               .target = "/a/x?q=1",
                               .fields = { { "Host", "h" },
                                           { "X-Request-Id", "id" },
                                           { "X-Model", "m1/a2" },
                                           { "X-Token-Usage", "1460,80" },
                                           { "X-Prompt-Prefix", "5c:800,9:410" },
                                           { "X-Deadline-Ms", "1500" },
                                           { "x-hold", "1" },
                                           { "X-Pin-Ms", "1" },
                                           { "X-Kv-Backup", "1" },
                                           { "Kv-From", "1" },
                                           { "X-Target-Instance", "other" },
                                           { "X-Request-Priority", "0" },
                                           { "Connection", "close, X-Private" },
                                           { "X-Private", "1" },
                                           { "Transfer-Encoding", "chunked" },
                                           { "X-Custom", "kept" } },
                               .body = "body" };
  const auto clientRequest = DecodeClientRequest(request);
  CHECK(clientRequest.requestId == "id");
  CHECK(clientRequest.timeLeft == 1'500ms);
  REQUIRE(clientRequest.work.has_value());
  CHECK(clientRequest.work->target.adapter == AdapterId{ "a2" });
  CHECK(clientRequest.work->promptTokens == 1'460);
  REQUIRE(clientRequest.work->parts.size() == 2);
  CHECK(clientRequest.work->parts[0].id == 0x5c);
  const auto forwarded = EncodeForwardedRequest(
    request,
    { .endpoint = EndpointId{ "i-1" }, .timeLeft = 700ms, .priority = 2, .hasPriority = true });
  CHECK(forwarded.method == "POST");
  CHECK(forwarded.target == "/a/x?q=1");
  CHECK(forwarded.body == "body");
  CHECK(http::Find(forwarded.fields, "X-Deadline-Ms") == "700");
  CHECK(http::Find(forwarded.fields, "X-Target-Instance") == "i-1");
  CHECK(http::Find(forwarded.fields, "X-Request-Priority") == "2");
  CHECK(http::Find(forwarded.fields, "X-Custom") == "kept");
  CHECK(http::Find(forwarded.fields, "X-Prompt-Prefix") == "5c:800,9:410");
  for (const char* dropped :
       { "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Private", "Transfer-Encoding" }) {
    INFO(dropped);
    CHECK_FALSE(http::Find(forwarded.fields, dropped).has_value());
  }
}

/* An answer counts as not run only with status 421 or X-Not-Executed. If a plain 503 counted as not
 * run, the daemon could repeat a request that has run. */
TEST_CASE("an endpoint's answer is classified by its status and header fields")
{
  const auto refusal = DecodeEndpointAnswer(
    { .status = 503, .fields = { { "X-Not-Executed", "1" }, { "X-Server-Load", "3,1,8" } } });
  CHECK(refusal.isNotRun);
  CHECK_FALSE(refusal.hasSignature);
  REQUIRE(refusal.load.has_value());
  CHECK(refusal.load->waiting == 1);
  CHECK(DecodeEndpointAnswer({ .status = 421 }).isNotRun);
  CHECK_FALSE(DecodeEndpointAnswer({ .status = 503 }).isNotRun);
  CHECK(DecodeEndpointAnswer({ .status = 200, .fields = { { "Content-Encoding", "gzip" } } })
          .isEncoded);
  CHECK_FALSE(
    DecodeEndpointAnswer({ .status = 200, .fields = { { "X-Server-Load", "3,x,8" } } }).load);
}

// Such a name ended the process when it reached an order as it was.
TEST_CASE("a request with a name that is no text is invalid, and no order can be made of it")
{
  const std::string latin1 = "m0/a\xf1o";
  for (const char* name : { "X-Model", "X-Request-Id", "Last-Event-Id", "Resumes" }) {
    CAPTURE(name);
    const auto request = DecodeClientRequest(
      { .method = "POST", .target = "/", .fields = { { name, latin1 } }, .body = {} });
    CHECK(request.invalidField == name);
    CHECK(request.requestId.empty());
    CHECK_FALSE(request.work);
  }
  const auto valid = DecodeClientRequest(
    { .method = "POST", .target = "/", .fields = { { "X-Model", "m0/a\xc3\xb1o" } }, .body = {} });
  CHECK(valid.invalidField.empty());
  REQUIRE(valid.work);
  CHECK(valid.work->target.adapter == AdapterId{ "a\xc3\xb1o" });
  fleet::RunnerOrder order;
  order.subject.model = ModelId{ "m0" };
  CHECK(EncodeOrder(order).has_value());
  order.subject.adapter = AdapterId{ "a\xf1o" };
  CHECK_FALSE(EncodeOrder(order).has_value());
  CHECK_FALSE(
    EncodeWrite({ .table = "t", .key = latin1, .value = {}, .expectedVersion = {} }).has_value());
}

// A key that is put into the target as it is makes the store refuse the read, or read other rows.
TEST_CASE("a read of the store names any key")
{
  CHECK(EncodeRead("t", {}).target.find("from") == std::string::npos);
  CHECK(EncodeRead("t", "i-1_a.b~c").target.ends_with("&from=i-1_a.b~c"));
  CHECK(EncodeRead("t", "a b&c#d%e+f?g=h/i")
          .target.ends_with("&from=a%20b%26c%23d%25e%2Bf%3Fg%3Dh%2Fi"));
  CHECK(EncodeRead("t", "\xc3\xa9\r\n").target.ends_with("&from=%C3%A9%0D%0A"));
}

TEST_CASE("values of store rows are encoded and decoded as base64")
{
  const auto write = EncodeWrite(
    { .table = "t", .key = "k", .value = std::string("a\0b", 3), .expectedVersion = { 4 } });
  REQUIRE(write.has_value());
  CHECK(write->body.find("YQBi") != std::string::npos);
  const auto answer = DecodeStoreAnswer(
    R"({"rows":[{"table":"t","part":"","key":"k","value":"YQBi","ver":5},)"
    R"({"table":"t","key":"gone","ver":6,"removed":true}],"truncated":false,"ver":9,"nowMs":1})",
    { 3 });
  REQUIRE(answer.has_value());
  CHECK(answer->rows[0].value == std::string("a\0b", 3));
  CHECK(answer->rows[1].isRemoved);
  CHECK(answer->newest == RowVersion{ 9, { 3 } });
  CHECK(answer->rows[0].version == RowVersion{ 5, { 3 } });
  CHECK_FALSE(DecodeStoreAnswer(R"({"rows":[{"table":"t"}],"ver":9})", {}).has_value());
  // One value that another writer has spoiled must not hide the other rows.
  const auto spoiled =
    DecodeStoreAnswer(R"({"rows":[{"table":"t","key":"a","value":"!","ver":5},)"
                      R"({"table":"t","key":"b","value":"YQ==","ver":6}],"ver":9})",
                      {});
  REQUIRE(spoiled.has_value());
  CHECK(spoiled->rows[0].value.empty());
  CHECK(spoiled->rows[1].value == "a");
  CHECK_FALSE(DecodeStoreAnswer("nonsense", {}).has_value());
}

// An era that is taken for 0, or for a higher one than the store's, would make daemons drop valid
// answers or believe that the store lost rows.
TEST_CASE("an era that is missing or no number is not taken for one")
{
  const auto decode = [](const char* aValue) {
    return DecodeStoreEra({ .status = 200, .fields = { { "Store-Era", aValue } } });
  };
  CHECK(decode("7") == StoreEra{ 7 });
  CHECK_FALSE(decode(""));
  CHECK_FALSE(decode("7x"));
  CHECK_FALSE(decode("-1"));
  CHECK_FALSE(decode("99999999999999999999"));
  CHECK_FALSE(DecodeStoreEra({ .status = 200 }));
}

TEST_CASE("the id of an event is read with LF and CRLF line ends")
{
  CHECK(DecodeEventId("id: 12\ndata: x\n\n") == "12");
  CHECK(DecodeEventId("x-weight-versions: 3\r\nid:7\r\ndata: x\r\n\r\n") == "7");
  CHECK(DecodeEventId("data: id: 5\n\n").empty());
}

/* Guards against use of the platform's names elsewhere: a change of its interface must need changes
 * only in src/platform. */
TEST_CASE("names of the platform's interface occur only in the platform adapter")
{
  constexpr std::array kNames{ "X-Target-Instance", "X-Not-Executed", "X-Response-Signature",
                               "rows-tx",           "rows-feed",      "fencingToken",
                               "expectedRev",       "coldLeftMs",     "weightedBackends",
                               "X-Tenant",          "apiKeys" };
  for (const auto& item :
       std::filesystem::recursive_directory_iterator(std::string{ SOURCE_DIR } + "/src")) {
    const std::string path = item.path().string();
    if (!item.is_regular_file() || path.find("/src/platform/") != std::string::npos) {
      continue;
    }
    std::ifstream file(item.path());
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    for (const char* name : kNames) {
      INFO(path, ": ", name);
      CHECK(text.find(name) == std::string::npos);
    }
  }
}

TEST_CASE("only the defined value of the leaving field counts, and others are named")
{
  struct Case
  {
    std::vector<std::string> values;
    bool isLeaving = false;
    std::size_t ignored = 0;
  };
  const std::vector<Case> cases{ { {}, false, 0 },          { { "1" }, true, 0 },
                                 { { "0" }, false, 1 },     { { "true" }, false, 1 },
                                 { { "1, 1" }, false, 1 },  { { "" }, false, 1 },
                                 { { "1", "1" }, true, 0 }, { { "0", "1" }, true, 1 } };
  for (const Case& item : cases) {
    http::AnswerHead head{ .status = 503 };
    for (const std::string& value : item.values) {
      head.fields.push_back({ "server-leaving", value });
    }
    const EndpointAnswer answer = DecodeEndpointAnswer(head);
    CHECK(answer.isLeaving == item.isLeaving);
    CHECK(answer.ignoredFields.size() == item.ignored);
  }
}

// A fourth figure used to make the whole field unreadable, without a log line. Then the choice of
// an endpoint ignored its load.
TEST_CASE("a reported load may have more figures than are known, and what is ignored is named")
{
  struct Case
  {
    std::string value;
    std::optional<std::uint32_t> running;
    std::optional<Slowness> slowness;
    std::size_t ignored = 0;
  };
  const std::vector<Case> cases{
    { "3,1,8", 3, std::nullopt, 0 },
    { "3,1,8,250", 3, Slowness{ 2.5 }, 0 },
    { "3, 1, 8, 100", 3, Slowness{ 1.0 }, 0 },
    { "3,1,8,87.5", 3, Slowness{ 0.875 }, 0 },
    { "3,1,8,250,7,x", 3, Slowness{ 2.5 }, 1 },
    { "3,1,8,99999999999999999999999", 3, Slowness{ 100.0 }, 0 },
    { "3,1,8,0", 3, std::nullopt, 1 },
    { "3,1,8,-5", 3, std::nullopt, 1 },
    { "3,1,8,fast,2", 3, std::nullopt, 2 },
    { "3,1,8,", 3, std::nullopt, 0 },
    { "3,x,8,250", std::nullopt, std::nullopt, 1 },
    { "3,1", std::nullopt, std::nullopt, 1 },
    { "", std::nullopt, std::nullopt, 1 },
  };
  for (const Case& item : cases) {
    CAPTURE(item.value);
    const EndpointAnswer answer =
      DecodeEndpointAnswer({ .status = 200, .fields = { { "x-server-load", item.value } } });
    REQUIRE(answer.load.has_value() == item.running.has_value());
    CHECK(answer.ignoredFields.size() == item.ignored);
    if (answer.load) {
      CHECK(answer.load->running == *item.running);
      CHECK(answer.load->slots == 8);
      CHECK(answer.load->slowness == item.slowness);
    }
  }
  const EndpointAnswer misdirected =
    DecodeEndpointAnswer({ .status = 421, .fields = { { "X-Server-Load", "3,1,8,250" } } });
  REQUIRE(misdirected.load.has_value());
  CHECK_FALSE(misdirected.load->slowness.has_value());
}

// A further figure used to make the number before it unreadable, so that a request counted as one
// without output or without prompt parts.
TEST_CASE("a request's lists may have more figures than are known, and what is ignored is named")
{
  const auto decode = [](std::string aTokens, std::string aParts, std::string aDeadline) {
    return DecodeClientRequest({ .method = "POST",
                                 .target = "/",
                                 .fields = { { "X-Model", "m1" },
                                             { "X-Token-Usage", std::move(aTokens) },
                                             { "X-Prompt-Prefix", std::move(aParts) },
                                             { "X-Deadline-Ms", std::move(aDeadline) } },
                                 .body = {} });
  };
  const auto known = decode("1460, 80", "5c:800,9:410", "1500.5");
  CHECK(known.work->outputTokens == 80);
  CHECK(known.timeLeft == 1'500'500us);
  CHECK(known.ignoredFields.empty());
  const auto further = decode("1460,80,7", "5c:800:1,9:410", "1500");
  CHECK(further.work->promptTokens == 1'460);
  CHECK(further.work->outputTokens == 80);
  CHECK(further.work->parts.size() == 2);
  CHECK(further.ignoredFields.size() == 2);
  const auto invalid = decode("x,80", "5c:800,zz", "soon");
  CHECK(invalid.work->outputTokens == 80);
  CHECK(invalid.work->parts.size() == 1);
  CHECK_FALSE(invalid.timeLeft.has_value());
  CHECK(invalid.ignoredFields.size() == 3);
}

// A value that is taken for a number although it is none could stop an endpoint's requests for good
// or lift its limit.
TEST_CASE("a limit on requests is a plain decimal number, and the lowest of several counts")
{
  struct Case
  {
    std::vector<std::string> values;
    std::optional<RequestRate> limit;
    std::size_t ignored = 0;
  };
  const std::vector<Case> cases{
    { {}, std::nullopt, 0 },
    { { "1" }, RequestRate{ 1.0 }, 0 },
    { { "0" }, RequestRate{ 0.0 }, 0 },
    { { "0.2" }, RequestRate{ 0.2 }, 0 },
    { { "3.7" }, RequestRate{ 3.7 }, 0 },
    { { "50" }, RequestRate{ 50.0 }, 0 },
    { { "3", "2" }, RequestRate{ 2.0 }, 0 },
    { { "2", "x" }, RequestRate{ 2.0 }, 1 },
    { { "1, 2" }, std::nullopt, 1 },
    { { "-1" }, std::nullopt, 1 },
    { { "+1" }, std::nullopt, 1 },
    { { "nan" }, std::nullopt, 1 },
    { { "inf" }, std::nullopt, 1 },
    { { "1e3" }, std::nullopt, 1 },
    { { ".5" }, std::nullopt, 1 },
    { { "1 2" }, std::nullopt, 1 },
    { { "" }, std::nullopt, 1 },
    { { "1" + std::string(30, '0') }, RequestRate{ 1e6 }, 0 },
    { { std::string(400, '9') }, RequestRate{ 1e6 }, 0 },
  };
  for (const unsigned status : { 200U, 202U, 400U, 421U, 500U, 503U }) {
    for (const Case& item : cases) {
      http::AnswerHead head{ .status = status };
      for (const std::string& value : item.values) {
        CAPTURE(value);
        head.fields.push_back({ "server-limit", value });
      }
      const EndpointAnswer answer = DecodeEndpointAnswer(head);
      CHECK(answer.requestLimit == item.limit);
      CHECK(answer.ignoredFields.size() == item.ignored);
    }
  }
}

TEST_CASE(
  "a pause is decoded from refusals only, in seconds with fractions, and never without an end")
{
  struct Case
  {
    unsigned status = 503;
    std::vector<std::string> values;
    std::optional<Duration> pause;
    std::size_t ignored = 0;
  };
  const std::vector<Case> cases{
    { 503, {}, std::nullopt, 0 },
    { 503, { "2" }, 2s, 0 },
    { 503, { "0.25" }, 250ms, 0 },
    { 503, { "0" }, Duration::zero(), 0 },
    { 200, { "2" }, std::nullopt, 0 },
    { 429, { "2" }, std::nullopt, 0 },
    { 503, { "1", "3.5" }, 3'500ms, 0 },
    { 503, { "1", "x" }, 1s, 1 },
    { 503, { "" }, std::nullopt, 1 },
    { 503, { "-1" }, std::nullopt, 1 },
    { 503, { "+1" }, std::nullopt, 1 },
    { 503, { "1e9" }, std::nullopt, 1 },
    { 503, { "nan" }, std::nullopt, 1 },
    { 503, { "inf" }, std::nullopt, 1 },
    { 503, { "1 s" }, std::nullopt, 1 },
    { 503, { "Fri, 04 Dec 2026 08:00:00 GMT" }, std::nullopt, 1 },
    { 503, { "7200" }, std::chrono::hours{ 1 }, 0 },
    { 503, { std::string(400, '9') }, std::chrono::hours{ 1 }, 0 },
  };
  for (const Case& item : cases) {
    http::AnswerHead head{ .status = item.status };
    for (const std::string& value : item.values) {
      CAPTURE(value);
      head.fields.push_back({ "Retry-After", value });
    }
    const EndpointAnswer answer = DecodeEndpointAnswer(head);
    CHECK(answer.pause == item.pause);
    CHECK(answer.ignoredFields.size() == item.ignored);
  }
}
