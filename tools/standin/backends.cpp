#include "backends.hpp"

#include "backend_server.hpp"
#include "history.hpp"
#include "http_listener.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <fmt/format.h>
#include <glog/logging.h>
#include <mutex>
#include <thread>
#include <vector>

namespace bronzedeal::standin {

namespace json = boost::json;

namespace {

/// Bounds the age of the history's newest lines while the process runs.
constexpr std::chrono::milliseconds kFlushInterval{ 200 };

/// One thread with the servers that only it touches.
struct Shard
{
  explicit Shard(std::shared_ptr<tools::HistoryFile> aFile)
    : history(std::move(aFile))
    , flushTimer(context)
  {
  }

  void Flush()
  {
    flushTimer.expires_after(kFlushInterval);
    flushTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        history.Flush();
        Flush();
      }
    });
  }

  boost::asio::io_context context{ 1 };
  tools::HistoryWriter history;
  boost::asio::steady_timer flushTimer;
  std::vector<std::unique_ptr<BackendServer>> servers;
};

/// An answer that waits for the parts of all threads.
struct Gather
{
  std::mutex mutex;
  std::size_t waiting = 0;
  json::object servers;
  std::string error;
  HttpAnswer answer;
};

bool Selects(const json::object& aFields, const BackendOptions& aServer)
{
  if (const auto* ids = aFields.if_contains("servers")) {
    for (const auto& it : ids->as_array()) {
      if (it.as_string() == aServer.id) {
        return true;
      }
    }
    return false;
  }
  const auto* domain = aFields.if_contains("failure_domain");
  return domain == nullptr || domain->as_string() == aServer.failureDomain;
}

} // namespace

class Backends::Impl
{
public:
  explicit Impl(const json::object& aSettings)
  {
    const auto text = [&](std::string_view aKey, std::string_view aDefault) {
      const auto* it = aSettings.if_contains(aKey);
      return std::string(it == nullptr ? aDefault : it->as_string());
    };
    auto file = std::make_shared<tools::HistoryFile>(text("history", ""));
    const auto* threads = aSettings.if_contains("threads");
    const auto count = threads == nullptr ? 2 : threads->to_number<unsigned>();
    for (unsigned i = 0; i < std::max(count, 1U); ++i) {
      mShards.push_back(std::make_unique<Shard>(file));
    }
    BackendOptions defaults;
    if (const auto* seed = aSettings.if_contains("seed")) {
      defaults.seed = seed->to_number<std::uint64_t>();
    }
    if (const auto* fields = aSettings.if_contains("defaults")) {
      ApplyOptions(fields->as_object(), defaults);
    }
    std::size_t n = 0;
    for (const auto& it : aSettings.at("servers").as_array()) {
      auto options = defaults;
      ApplyOptions(it.as_object(), options);
      auto& shard = *mShards[n++ % mShards.size()];
      shard.servers.push_back(std::make_unique<BackendServer>(
        shard.context, std::move(options), shard.history));
      shard.servers.back()->Open();
    }
    mControl = std::make_unique<HttpListener>(
      mShards[0]->context,
      HttpListener::Options{ .address = text("control", "127.0.0.1:0") },
      [this](HttpRequest&& aRequest, HttpAnswer aAnswer) {
        Control(aRequest, std::move(aAnswer));
      });
    mControl->Open();
  }

  [[nodiscard]] json::object Addresses() const
  {
    json::object servers;
    for (const auto& shard : mShards) {
      for (const auto& it : shard->servers) {
        servers[it->GetOptions().id] = it->Address();
      }
    }
    return { { "http", mControl->Address() }, { "servers", servers } };
  }

  void Run()
  {
    boost::asio::signal_set signals(mShards[0]->context, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code, int) {
      for (const auto& it : mShards) {
        it->context.stop();
      }
    });
    std::vector<std::thread> threads;
    for (const auto& it : mShards) {
      it->Flush();
    }
    for (std::size_t i = 1; i < mShards.size(); ++i) {
      threads.emplace_back([this, i] { mShards[i]->context.run(); });
    }
    mShards[0]->context.run();
    for (auto& it : threads) {
      it.join();
    }
    for (const auto& shard : mShards) {
      for (const auto& it : shard->servers) {
        it->RecordUnfinished();
      }
      shard->history.Flush();
    }
  }

private:
  void Control(const HttpRequest& aRequest, HttpAnswer aAnswer)
  {
    json::object fields;
    const auto path = PathOf(aRequest.target);
    const auto change = aRequest.method == "POST" && path == "/control/server";
    if (!change && (aRequest.method != "GET" || path != "/control/servers")) {
      aAnswer({ .status = 404, .body = R"({"error":"unknown path"})" });
      return;
    }
    if (change) {
      boost::system::error_code ec;
      auto value = json::parse(aRequest.body, ec);
      if (ec || !value.is_object()) {
        aAnswer({ .status = 400, .body = R"({"error":"not an object"})" });
        return;
      }
      fields = std::move(value.as_object());
    }
    auto gather = std::make_shared<Gather>();
    gather->waiting = mShards.size();
    gather->answer = std::move(aAnswer);
    for (const auto& it : mShards) {
      boost::asio::post(it->context,
                        [this, gather, change, fields, shard = it.get()] {
                          ControlShard(*shard, fields, change, gather);
                        });
    }
  }

  void ControlShard(Shard& aShard,
                    const json::object& aFields,
                    bool aChange,
                    const std::shared_ptr<Gather>& aGather)
  {
    json::object described;
    std::string error;
    try {
      for (const auto& it : aShard.servers) {
        if (Selects(aFields, it->GetOptions())) {
          if (aChange) {
            it->Control(aFields);
          }
          described[it->GetOptions().id] = it->Describe();
        }
      }
    } catch (const std::exception& e) {
      error = e.what();
      LOG(WARNING) << "control request refused: " << error;
    }
    const std::lock_guard lock(aGather->mutex);
    for (auto& [id, state] : described) {
      aGather->servers[id] = std::move(state);
    }
    if (!error.empty()) {
      aGather->error = error;
    }
    if (--aGather->waiting == 0) {
      boost::asio::post(mShards[0]->context, [aGather] {
        if (aGather->error.empty()) {
          aGather->answer({ .body = json::serialize(aGather->servers) });
        } else {
          aGather->answer({ .status = 400,
                            .body = json::serialize(
                              json::object{ { "error", aGather->error } }) });
        }
      });
    }
  }

  std::vector<std::unique_ptr<Shard>> mShards;
  std::unique_ptr<HttpListener> mControl;
};

Backends::Backends(const json::object& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

Backends::~Backends() = default;

json::object Backends::Addresses() const
{
  return mImpl->Addresses();
}

void Backends::Run()
{
  mImpl->Run();
}

} // namespace bronzedeal::standin
