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
constexpr const char* kCrashWord = "CRASH-THE-ENGINE";

struct Model
{
  std::string version;
  long memory = 0;
  bool ready = false;
  std::set<std::string> adapters;
  int running = 0;
};

/* The state of the engine. The mutex guards all members that change. */
struct Engine
{
  explicit Engine(const Options& aOptions)
    : options(aOptions)
    , boot(std::to_string(std::random_device{}()))
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
    return { { "bootId", boot },
             { "memory", options.memoryMb },
             { "models", list },
             { "running", running },
             { "queued", waiting.size() } };
  }

  long Used() const
  {
    long used = 0;
    for (const auto& [id, model] : models) {
      used += model.memory;
    }
    return used;
  }

  Options options;
  std::string boot;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Model> models;
  std::map<std::string, std::string> orders; ///< State of each order, by its id.
  std::uint64_t fence = 0;                   ///< Highest fencing token of an order so far.
  int running = 0;                           ///< Requests that run, of all models.
  std::multiset<int> waiting;                ///< Priorities of the requests that wait for a slot.
  bool isLeaving = false;
};

using EnginePtr = std::shared_ptr<Engine>;

json OrderReply(const Engine& aEngine, const std::string& aOrder, const std::string& aState)
{
  return { { "order", aOrder }, { "state", aState }, { "inventory", aEngine.Inventory() } };
}

/* Waits for the load of a checkpoint from the weight store of the platform. */
void FetchFromStore(const Options& aOptions, long aMb)
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
  model.memory = aOrder.value("memory", 0L);
  aServer->journal.Add({ { "what", "load" },
                         { "model", id },
                         { "order", order },
                         { "used_mb", aEngine->Used() },
                         { "memory_mb", aEngine->options.memoryMb } });
  std::thread([aServer, aEngine, id, order, mb = model.memory] {
    FetchFromStore(aEngine->options, mb);
    {
      const std::lock_guard lock(aEngine->mutex);
      const auto found = aEngine->models.find(id);
      if (found != aEngine->models.end()) {
        found->second.ready = true;
      }
      aEngine->orders[order] = "done";
      aServer->journal.Add({ { "what", "ready" }, { "model", id } });
    }
    aEngine->changed.notify_all();
  }).detach();
}

/* Carries out an order that the engine has not seen before. Returns its state. */
std::string CarryOut(Server* aServer, const EnginePtr& aEngine, const json& aOrder)
{
  const std::string kind = aOrder.at("kind");
  const std::string id = aOrder.value("model", "");
  Engine& engine = *aEngine;
  if (kind == "load_model") {
    if (engine.models.contains(id)) {
      return engine.models[id].ready ? "done" : "running";
    }
    const bool isOver = engine.Used() + aOrder.value("memory", 0L) > engine.options.memoryMb;
    if (isOver) {
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
    const auto known = aEngine->orders.find(id);
    if (aEngine->options.checksFence && fence < aEngine->fence) {
      state = "fenced";
    } else if (known != aEngine->orders.end()) {
      state = known->second;
    } else {
      aEngine->fence = std::max(aEngine->fence, fence);
      state = CarryOut(aServer, aEngine, order);
      if (order.at("kind") != "inventory") {
        aEngine->orders[id] = state;
      }
    }
    aResponse.set_content(OrderReply(*aEngine, id, state).dump(), "application/json");
  }
  if (aServer->faults.Take("order_lose_answers")) {
    LoseAnswer(aResponse);
  }
}

void FollowOrder(const EnginePtr& aEngine,
                 const httplib::Request& aRequest,
                 httplib::Response& aResponse)
{
  const std::string id = aRequest.matches[1];
  const auto wait =
    std::chrono::milliseconds{ std::atol(aRequest.get_param_value("wait_ms").c_str()) };
  std::unique_lock lock(aEngine->mutex);
  aEngine->changed.wait_for(lock, wait, [&] { return aEngine->orders[id] != "running"; });
  const std::string state = aEngine->orders[id].empty() ? "failed" : aEngine->orders[id];
  aResponse.set_content(OrderReply(*aEngine, id, state).dump(), "application/json");
}

/* Waits for a slot, and occupies it. Requests with lower priority numbers get slots first. */
void EnterBatch(Engine& aEngine, int aPriority)
{
  std::unique_lock lock(aEngine.mutex);
  const auto place = aEngine.waiting.insert(aPriority);
  aEngine.changed.wait(lock, [&] {
    return aEngine.running < aEngine.options.slots && *aEngine.waiting.begin() >= aPriority;
  });
  aEngine.waiting.erase(place);
  ++aEngine.running;
}

/* Frees the slot of a request that has ended. */
void LeaveBatch(Engine& aEngine, const std::string& aModel)
{
  {
    const std::lock_guard lock(aEngine.mutex);
    --aEngine.running;
    const auto found = aEngine.models.find(aModel);
    if (found != aEngine.models.end()) {
      --found->second.running;
    }
  }
  aEngine.changed.notify_all();
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
struct Run
{
  std::string id;
  std::string model;
  std::size_t hash = 0;
  int tokens = kDefaultTokens;
  int next = 0;
};

std::string EventOf(const Run& aRun, int aIndex)
{
  const json delta{ { "content", TokenText(aRun.hash, aIndex) } };
  const json choice{ { "index", 0 }, { "delta", delta } };
  return "data: " +
         json{
           { "id", aRun.id }, { "object", "chat.completion.chunk" }, { "choices", { choice } }
         }.dump() +
         "\n\n";
}

void AnswerStream(Server* aServer,
                  const EnginePtr& aEngine,
                  const std::shared_ptr<Run>& aRun,
                  httplib::Response& aResponse)
{
  aResponse.set_chunked_content_provider(
    "text/event-stream",
    [=](std::size_t, httplib::DataSink& aSink) {
      if (aRun->next >= aRun->tokens) {
        const std::string end = "data: [DONE]\n\n";
        aSink.write(end.data(), end.size());
        aSink.done();
        return true;
      }
      if (aRun->next == aServer->faults.Value("cut_at") && aServer->faults.Take("cut_streams")) {
        return false;
      }
      if (aRun->next == aServer->faults.Value("silent_at") &&
          aServer->faults.Take("silent_streams")) {
        std::this_thread::sleep_for(std::chrono::seconds{ 20 });
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{ aEngine->options.tokenMs });
      const std::string event = EventOf(*aRun, aRun->next++);
      return aSink.write(event.data(), event.size());
    },
    [=](bool aIsWhole) {
      aServer->journal.Add({ { "what", "end" }, { "request", aRun->id }, { "whole", aIsWhole } });
      LeaveBatch(*aEngine, aRun->model);
    });
}

void AnswerWhole(Server* aServer,
                 const EnginePtr& aEngine,
                 const Run& aRun,
                 httplib::Response& aResponse)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aEngine->options.tokenMs * aRun.tokens });
  std::string text;
  for (int index = 0; index < aRun.tokens; ++index) {
    text += TokenText(aRun.hash, index);
  }
  const json choice{ { "index", 0 },
                     { "message", { { "role", "assistant" }, { "content", text } } } };
  aResponse.set_content(json{ { "id", aRun.id },
                              { "object", "chat.completion" },
                              { "model", aRun.model },
                              { "choices", { choice } },
                              { "usage", { { "completion_tokens", aRun.tokens } } } }
                          .dump(),
                        "application/json");
  aServer->journal.Add({ { "what", "end" }, { "request", aRun.id }, { "whole", true } });
  LeaveBatch(*aEngine, aRun.model);
  if (aServer->faults.Take("lose_answers")) {
    LoseAnswer(aResponse);
  }
}

/* Counts the request as running on its model and returns an empty string, or returns the reason for
 * which the request is refused. */
std::string RefusalOf(Engine& aEngine, const std::string& aModel, const std::string& aAdapter)
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

void Complete(Server* aServer,
              const EnginePtr& aEngine,
              const httplib::Request& aRequest,
              httplib::Response& aResponse)
{
  const json body = json::parse(aRequest.body);
  const std::string name = body.at("model");
  const auto colon = name.find(':');
  const auto run = std::make_shared<Run>();
  run->id = aRequest.get_header_value("X-Request-Id");
  run->model = name.substr(0, colon);
  run->hash = std::hash<std::string>{}(PromptOf(body));
  run->tokens = body.value("max_tokens", kDefaultTokens);
  run->next = std::atoi(aRequest.get_header_value("X-Resume-Offset").c_str());
  const std::string refusal =
    RefusalOf(*aEngine, run->model, colon == std::string::npos ? "" : name.substr(colon + 1));
  aResponse.set_header("X-Request-Id",
                       aServer->faults.Take("crossed_answers") ? "another" : run->id);
  if (!refusal.empty()) {
    aServer->journal.Add({ { "what", "refused" }, { "request", run->id }, { "why", refusal } });
    aResponse.status = 503;
    aResponse.set_header("X-Refusal", refusal);
    return;
  }
  aResponse.set_header("X-Resume-Offset", std::to_string(run->next));
  EnterBatch(*aEngine, std::atoi(aRequest.get_header_value("X-Priority").c_str()));
  aServer->journal.Add({ { "what", "run" },
                         { "request", run->id },
                         { "model", run->model },
                         { "offset", run->next },
                         { "prompt", PromptOf(body) } });
  if (aRequest.body.find(kCrashWord) != std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 30 });
    std::_Exit(70);
  }
  if (body.value("stream", false)) {
    AnswerStream(aServer, aEngine, run, aResponse);
  } else {
    AnswerWhole(aServer, aEngine, *run, aResponse);
  }
}

} // namespace

void AddEngine(Server& aServer, const Options& aOptions)
{
  const auto engine = std::make_shared<Engine>(aOptions);
  Server* server = &aServer;
  aServer.http.Post("/orders", [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
    PostOrder(server, engine, aRequest, aResponse);
  });
  aServer.http.Get(R"(/orders/([^/]+))",
                   [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
                     FollowOrder(engine, aRequest, aResponse);
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
    Complete(server, engine, aRequest, aResponse);
  };
  aServer.http.Post("/v1/chat/completions", complete);
  aServer.http.Post("/v1/completions", complete);
}

} // namespace standin
