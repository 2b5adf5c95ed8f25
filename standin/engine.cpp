/* Stand-in for a model engine. It carries out orders of the lease holder, and answers completions
 * with generated text. */
#include "standin/standin.h"

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <thread>

namespace standin {

namespace {

constexpr int kDefaultTokens = 16;
/* A completion request whose body contains this text ends the engine's process. */
constexpr const char* kCrashPrompt = "CRASH-THE-ENGINE";

struct Model
{
  std::string version;
  long memoryMb = 0;
  bool ready = false;
  std::set<std::string> adapters;
  int running = 0;
};

/* The state of the engine. The mutex guards all members that change. */
struct Engine
{
  explicit Engine(const Options& aOptions)
    : options(aOptions)
    , bootId(std::to_string(std::random_device{}()))
  {
  }

  json Inventory() const
  {
    json list = json::array();
    for (const auto& [id, model] : models) {
      list.push_back({ { "model", id },
                       { "version", model.version },
                       { "ready", model.ready },
                       { "adapters", model.adapters },
                       { "running", model.running } });
    }
    return { { "bootId", bootId },
             { "memory", options.memoryMb },
             { "models", list },
             { "running", running },
             { "queued", waitingPriorities.size() } };
  }

  long UsedMemoryMb() const
  {
    long usedMb = 0;
    for (const auto& [id, model] : models) {
      usedMb += model.memoryMb;
    }
    return usedMb;
  }

  Options options;
  std::string bootId;
  std::mutex mutex;
  std::condition_variable stateChanged;
  std::map<std::string, Model> models;
  std::map<std::string, std::string> orders; ///< State of each order, by its id.
  std::uint64_t highestFence = 0;            ///< Highest fencing token of the executed orders.
  int running = 0;                           ///< Requests that run, of all models.
  std::multiset<int> waitingPriorities;      ///< Priorities of the requests that wait for a slot.
  bool isLeaving = false;
};

using EnginePtr = std::shared_ptr<Engine>;

json OrderReply(const Engine& aEngine, const std::string& aOrder, const std::string& aState)
{
  return { { "order", aOrder }, { "state", aState }, { "inventory", aEngine.Inventory() } };
}

/* Waits for the load of a checkpoint from the weight store of the platform. */
void LoadFromStore(const Options& aOptions, long aMb)
{
  httplib::Client client("http://" + aOptions.platform);
  client.set_read_timeout(std::chrono::seconds{ 600 });
  client.Post("/store/load", json{ { "mb", aMb } }.dump(), "application/json");
}

/* Adds the model to the engine, and marks it as ready once it has been loaded in the background. */
void StartLoad(Server* aServer, const EnginePtr& aEngine, const json& aOrder)
{
  const std::string id = aOrder.at("model");
  const std::string order = aOrder.at("order");
  Model& model = aEngine->models[id];
  model.version = aOrder.value("version", "1");
  model.memoryMb = aOrder.value("memory", 0L);
  aServer->journal.Add({ { "what", "load" },
                         { "model", id },
                         { "order", order },
                         { "used_mb", aEngine->UsedMemoryMb() },
                         { "memory_mb", aEngine->options.memoryMb } });
  std::thread([aServer, aEngine, id, order, memoryMb = model.memoryMb] {
    LoadFromStore(aEngine->options, memoryMb);
    {
      const std::lock_guard lock(aEngine->mutex);
      const auto found = aEngine->models.find(id);
      if (found != aEngine->models.end()) {
        found->second.ready = true;
      }
      aEngine->orders[order] = "done";
      aServer->journal.Add({ { "what", "ready" }, { "model", id } });
    }
    aEngine->stateChanged.notify_all();
  }).detach();
}

/* Carries out an order that the engine has not seen before. Returns its state. */
std::string ExecuteOrder(Server* aServer, const EnginePtr& aEngine, const json& aOrder)
{
  const std::string kind = aOrder.at("kind");
  const std::string id = aOrder.value("model", "");
  Engine& engine = *aEngine;
  if (kind == "load_model") {
    if (engine.models.contains(id)) {
      return engine.models[id].ready ? "done" : "running";
    }
    const bool exceedsMemory =
      engine.UsedMemoryMb() + aOrder.value("memory", 0L) > engine.options.memoryMb;
    if (exceedsMemory) {
      aServer->journal.Add({ { "what", "overcommit" }, { "model", id } });
      return "no_memory";
    }
    StartLoad(aServer, aEngine, aOrder);
    return "running";
  }
  if (kind == "unload_model") {
    const auto found = engine.models.find(id);
    if (found != engine.models.end()) {
      aServer->journal.Add(
        { { "what", "unload" }, { "model", id }, { "running", found->second.running } });
      engine.models.erase(found);
    }
    return "done";
  }
  if (kind == "load_adapter") {
    const auto found = engine.models.find(id);
    if (found == engine.models.end() || !found->second.ready) {
      return "failed";
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 8 });
    found->second.adapters.insert(aOrder.at("adapter").get<std::string>());
    aServer->journal.Add(
      { { "what", "adapter" }, { "model", id }, { "adapter", aOrder.at("adapter") } });
    return "done";
  }
  return "done";
}

/* Executes an order unless its fencing token is outdated. A repeated order gets the state of the
 * first one. */
void PostOrder(Server* aServer,
               const EnginePtr& aEngine,
               const httplib::Request& aRequest,
               httplib::Response& aResponse)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aServer->faults.Value("order_delay_ms") });
  const json order = json::parse(aRequest.body);
  const std::string id = order.at("order");
  std::string state;
  {
    const std::lock_guard lock(aEngine->mutex);
    const std::uint64_t fence = order.value("fence", std::uint64_t{ 0 });
    const auto knownOrder = aEngine->orders.find(id);
    if (aEngine->options.checksFence && fence < aEngine->highestFence) {
      state = "fenced";
    } else if (knownOrder != aEngine->orders.end()) {
      state = knownOrder->second;
    } else {
      aEngine->highestFence = std::max(aEngine->highestFence, fence);
      state = ExecuteOrder(aServer, aEngine, order);
      if (order.at("kind") != "inventory") {
        aEngine->orders[id] = state;
      }
    }
    aResponse.set_content(OrderReply(*aEngine, id, state).dump(), "application/json");
  }
  if (aServer->faults.Consume("order_lose_answers")) {
    LoseAnswer(aResponse);
  }
}

/* Answers with the state of an order. Waits up to wait_ms while the order is running. */
void WaitForOrder(const EnginePtr& aEngine,
                  const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const std::string id = aRequest.matches[1];
  const auto wait =
    std::chrono::milliseconds{ std::atol(aRequest.get_param_value("wait_ms").c_str()) };
  std::unique_lock lock(aEngine->mutex);
  aEngine->stateChanged.wait_for(lock, wait, [&] { return aEngine->orders[id] != "running"; });
  const std::string state = aEngine->orders[id].empty() ? "failed" : aEngine->orders[id];
  aResponse.set_content(OrderReply(*aEngine, id, state).dump(), "application/json");
}

/* Waits for a slot, and occupies it. Requests with lower priority numbers get slots first. */
void AcquireSlot(Engine& aEngine, int aPriority)
{
  std::unique_lock lock(aEngine.mutex);
  const auto waitingEntry = aEngine.waitingPriorities.insert(aPriority);
  aEngine.stateChanged.wait(lock, [&] {
    return aEngine.running < aEngine.options.slots &&
           *aEngine.waitingPriorities.begin() >= aPriority;
  });
  aEngine.waitingPriorities.erase(waitingEntry);
  ++aEngine.running;
}

/* Frees the slot of a request that has ended. */
void ReleaseSlot(Engine& aEngine, const std::string& aModel)
{
  {
    const std::lock_guard lock(aEngine.mutex);
    --aEngine.running;
    const auto found = aEngine.models.find(aModel);
    if (found != aEngine.models.end()) {
      --found->second.running;
    }
  }
  aEngine.stateChanged.notify_all();
}

/* Returns the text of a token. It depends only on the prompt and on the index of the token, so that
 * every engine gives the same answer and can resume a stream of another one. */
std::string TokenText(std::size_t aPromptHash, int aIndex)
{
  return "w" + std::to_string((aPromptHash + static_cast<std::size_t>(aIndex) * 7'919) % 10'000) +
         " ";
}

std::string PromptOf(const json& aBody)
{
  return aBody.contains("messages") ? aBody["messages"].dump()
                                    : aBody.value("prompt", json("")).dump();
}

/* A completion that is in progress. */
struct Completion
{
  std::string id;
  std::string model;
  std::size_t promptHash = 0;
  int tokens = kDefaultTokens;
  int nextToken = 0; ///< Index of the next token to send.
};

std::string MakeStreamEvent(const Completion& aCompletion, int aIndex)
{
  const json delta{ { "content", TokenText(aCompletion.promptHash, aIndex) } };
  const json choice{ { "index", 0 }, { "delta", delta } };
  return "data: " +
         json{
           { "id", aCompletion.id },
           { "object", "chat.completion.chunk" },
           { "choices", { choice } }
         }.dump() +
         "\n\n";
}

/* Streams one event per token. The fault cut_streams ends the stream early, before the token
 * cut_at. The fault silent_streams does so before the token silent_at, after 20 s without bytes. */
void SendStream(Server* aServer,
                const EnginePtr& aEngine,
                const std::shared_ptr<Completion>& aCompletion,
                httplib::Response& aResponse)
{
  aResponse.set_chunked_content_provider(
    "text/event-stream",
    [=](std::size_t, httplib::DataSink& aSink) {
      if (aCompletion->nextToken >= aCompletion->tokens) {
        const std::string end = "data: [DONE]\n\n";
        aSink.write(end.data(), end.size());
        aSink.done();
        return true;
      }
      if (aCompletion->nextToken == aServer->faults.Value("cut_at") &&
          aServer->faults.Consume("cut_streams")) {
        return false;
      }
      if (aCompletion->nextToken == aServer->faults.Value("silent_at") &&
          aServer->faults.Consume("silent_streams")) {
        std::this_thread::sleep_for(std::chrono::seconds{ 20 });
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{ aEngine->options.tokenMs });
      const std::string event = MakeStreamEvent(*aCompletion, aCompletion->nextToken++);
      return aSink.write(event.data(), event.size());
    },
    [=](bool aIsComplete) {
      aServer->journal.Add(
        { { "what", "end" }, { "request", aCompletion->id }, { "whole", aIsComplete } });
      ReleaseSlot(*aEngine, aCompletion->model);
    });
}

/* Answers with all tokens at once, after the time that they take. */
void SendWholeAnswer(Server* aServer,
                     const EnginePtr& aEngine,
                     const Completion& aCompletion,
                     httplib::Response& aResponse)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds{ aEngine->options.tokenMs * aCompletion.tokens });
  std::string text;
  for (int index = 0; index < aCompletion.tokens; ++index) {
    text += TokenText(aCompletion.promptHash, index);
  }
  const json choice{ { "index", 0 },
                     { "message", { { "role", "assistant" }, { "content", text } } } };
  aResponse.set_content(json{ { "id", aCompletion.id },
                              { "object", "chat.completion" },
                              { "model", aCompletion.model },
                              { "choices", { choice } },
                              { "usage", { { "completion_tokens", aCompletion.tokens } } } }
                          .dump(),
                        "application/json");
  aServer->journal.Add({ { "what", "end" }, { "request", aCompletion.id }, { "whole", true } });
  ReleaseSlot(*aEngine, aCompletion.model);
  if (aServer->faults.Consume("lose_answers")) {
    LoseAnswer(aResponse);
  }
}

/* Counts the request as running on its model and returns an empty string, or returns the reason for
 * which the request is refused. */
std::string AdmitRequest(Engine& aEngine, const std::string& aModel, const std::string& aAdapter)
{
  const std::lock_guard lock(aEngine.mutex);
  if (aEngine.isLeaving) {
    return "leaving";
  }
  const auto found = aEngine.models.find(aModel);
  if (found == aEngine.models.end() || !found->second.ready ||
      (!aAdapter.empty() && !found->second.adapters.contains(aAdapter))) {
    return "not-loaded";
  }
  ++found->second.running;
  return {};
}

/* Runs a completion request, or refuses it with status 503. X-Resume-Offset is the number of tokens
 * that the caller already has. */
void HandleCompletion(Server* aServer,
                      const EnginePtr& aEngine,
                      const httplib::Request& aRequest,
                      httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const std::string name = body.at("model");
  const auto colon = name.find(':');
  const auto completion = std::make_shared<Completion>();
  completion->id = aRequest.get_header_value("X-Request-Id");
  completion->model = name.substr(0, colon);
  completion->promptHash = std::hash<std::string>{}(PromptOf(body));
  completion->tokens = body.value("max_tokens", kDefaultTokens);
  completion->nextToken = std::atoi(aRequest.get_header_value("X-Resume-Offset").c_str());
  const std::string refusal = AdmitRequest(
    *aEngine, completion->model, colon == std::string::npos ? "" : name.substr(colon + 1));
  aResponse.set_header("X-Request-Id",
                       aServer->faults.Consume("crossed_answers") ? "another" : completion->id);
  if (!refusal.empty()) {
    aServer->journal.Add(
      { { "what", "refused" }, { "request", completion->id }, { "why", refusal } });
    aResponse.status = 503;
    aResponse.set_header("X-Refusal", refusal);
    return;
  }
  aResponse.set_header("X-Resume-Offset", std::to_string(completion->nextToken));
  AcquireSlot(*aEngine, std::atoi(aRequest.get_header_value("X-Priority").c_str()));
  aServer->journal.Add({ { "what", "run" },
                         { "request", completion->id },
                         { "model", completion->model },
                         { "offset", completion->nextToken },
                         { "prompt", PromptOf(body) } });
  if (aRequest.body.find(kCrashPrompt) != std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 30 });
    std::_Exit(70);
  }
  if (body.value("stream", false)) {
    SendStream(aServer, aEngine, completion, aResponse);
  } else {
    SendWholeAnswer(aServer, aEngine, *completion, aResponse);
  }
}

} // namespace

void AddEngineRoutes(Server& aServer, const Options& aOptions)
{
  const auto engine = std::make_shared<Engine>(aOptions);
  Server* server = &aServer;
  aServer.http.Post("/orders", [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
    PostOrder(server, engine, aRequest, aResponse);
  });
  aServer.http.Get(R"(/orders/([^/]+))",
                   [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
                     WaitForOrder(engine, aRequest, aResponse);
                   });
  aServer.http.Get("/inventory", [=](const httplib::Request&, httplib::Response& aResponse) {
    const std::lock_guard lock(engine->mutex);
    aResponse.set_content(engine->Inventory().dump(), "application/json");
  });
  aServer.http.Post("/admin/leave", [=](const httplib::Request&, httplib::Response&) {
    const std::lock_guard lock(engine->mutex);
    engine->isLeaving = true;
  });
  const auto complete = [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
    HandleCompletion(server, engine, aRequest, aResponse);
  };
  aServer.http.Post("/v1/chat/completions", complete);
  aServer.http.Post("/v1/completions", complete);
}

} // namespace standin
