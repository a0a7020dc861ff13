#include "platform.hpp"

#include "history.hpp"
#include "http_listener.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <vector>

namespace bronzedeal::standin {

namespace json = boost::json;

namespace {

/// More former documents than any fault test serves.
constexpr std::size_t kKept = 64;
constexpr std::uint64_t kLongestWaitMs = 30'000;

/// A published text with its number and the time from which readers see it.
struct Published
{
  std::uint64_t number = 0;
  std::int64_t visibleAt = 0;
  std::string text;
};

struct Waiter
{
  explicit Waiter(boost::asio::io_context& aContext)
    : timer(aContext)
  {
  }

  bool instances = false;
  std::uint64_t after = 0;
  HttpAnswer answer;
  boost::asio::steady_timer timer;
};

} // namespace

class Platform::Impl
{
public:
  explicit Impl(const json::object& aSettings)
    : mHistory(std::make_shared<tools::HistoryFile>(
        aSettings.contains("history")
          ? std::string(aSettings.at("history").as_string())
          : ""))
    , mListener(mContext,
                { .address = aSettings.contains("http")
                               ? std::string(aSettings.at("http").as_string())
                               : "127.0.0.1:0" },
                [this](HttpRequest&& aRequest, HttpAnswer aAnswer) {
                  Handle(aRequest, std::move(aAnswer));
                })
  {
    mListener.Open();
  }

  [[nodiscard]] json::object Addresses() const
  {
    return { { "http", mListener.Address() } };
  }

  void Run()
  {
    boost::asio::signal_set signals(mContext, SIGTERM, SIGINT);
    signals.async_wait(
      [this](boost::system::error_code, int) { mContext.stop(); });
    mContext.run();
    mHistory.Flush();
  }

private:
  void Handle(const HttpRequest& aRequest, HttpAnswer aAnswer)
  {
    const auto path = PathOf(aRequest.target);
    if (aRequest.method == "GET" &&
        (path == "/v1/config" || path == "/v1/instances")) {
      Read(aRequest.target, path == "/v1/instances", std::move(aAnswer));
    } else if (path.starts_with("/control/")) {
      try {
        aAnswer(Control(aRequest, path));
      } catch (const std::exception& e) {
        aAnswer(
          { .status = 400,
            .body = json::serialize(json::object{ { "error", e.what() } }) });
      }
    } else {
      aAnswer({ .status = 404, .body = R"({"error":"unknown path"})" });
    }
  }

  void Read(const std::string& aTarget, bool aInstances, HttpAnswer aAnswer)
  {
    ++(aInstances ? mInstanceReads : mConfigReads);
    if (mDown) {
      aAnswer({ .abort = true });
      return;
    }
    auto waiter = std::make_shared<Waiter>(mContext);
    waiter->instances = aInstances;
    waiter->after = QueryNumber(aTarget, "after", 0);
    waiter->answer = std::move(aAnswer);
    if (TryAnswer(*waiter)) {
      return;
    }
    const auto wait =
      std::min(QueryNumber(aTarget, "wait_ms", 0), kLongestWaitMs);
    if (wait == 0) {
      Answer(*waiter, { .status = 304 });
      return;
    }
    mWaiters.push_back(waiter);
    waiter->timer.expires_after(std::chrono::milliseconds(wait));
    waiter->timer.async_wait([this, waiter](boost::system::error_code aError) {
      if (!aError && std::erase(mWaiters, waiter) > 0) {
        Answer(*waiter, { .status = 304 });
      }
    });
  }

  [[nodiscard]] const Published* Visible(bool aInstances) const
  {
    const auto& all = aInstances ? mInstances : mDocuments;
    const auto now = tools::NowMicros();
    const std::size_t skip = aInstances ? 0 : mStaleVersions;
    std::size_t skipped = 0;
    for (auto it = all.rbegin(); it != all.rend(); ++it) {
      if (it->visibleAt <= now && skipped++ >= skip) {
        return &*it;
      }
    }
    return nullptr;
  }

  bool TryAnswer(Waiter& aWaiter)
  {
    const auto* found = Visible(aWaiter.instances);
    if (found == nullptr || found->number <= aWaiter.after) {
      return false;
    }
    Answer(aWaiter, { .body = found->text });
    return true;
  }

  void Answer(Waiter& aWaiter, HttpResponse aResponse)
  {
    mBytes += aResponse.body.size();
    if (mDelayMs == 0) {
      aWaiter.answer(std::move(aResponse));
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(mContext);
    timer->expires_after(std::chrono::milliseconds(mDelayMs));
    timer->async_wait(
      [timer, answer = aWaiter.answer, response = std::move(aResponse)](
        boost::system::error_code) { answer(response); });
  }

  void Notify()
  {
    std::erase_if(mWaiters, [this](const std::shared_ptr<Waiter>& aWaiter) {
      if (mDown) {
        aWaiter->timer.cancel();
        aWaiter->answer({ .abort = true });
        return true;
      }
      if (!TryAnswer(*aWaiter)) {
        return false;
      }
      aWaiter->timer.cancel();
      return true;
    });
  }

  HttpResponse Control(const HttpRequest& aRequest, std::string_view aPath)
  {
    if (aRequest.method == "GET" && aPath == "/control/reads") {
      return { .body =
                 json::serialize(json::object{ { "config", mConfigReads },
                                               { "instances", mInstanceReads },
                                               { "bytes", mBytes } }) };
    }
    auto value = json::parse(aRequest.body);
    auto& fields = value.as_object();
    if (aRequest.method == "PUT" && aPath == "/control/config") {
      const auto rejected =
        aRequest.target.find("expect=rejected") != std::string::npos;
      Publish(mDocuments,
              fields.at("version").to_number<std::uint64_t>(),
              aRequest.body,
              0);
      Record("config",
             { { "version", fields.at("version") },
               { "rejected", rejected },
               { "document", value } });
    } else if (aRequest.method == "PUT" && aPath == "/control/instances") {
      Publish(mInstances,
              fields.at("revision").to_number<std::uint64_t>(),
              aRequest.body,
              mListLagMs);
      Record("instances", { { "list", value } });
    } else if (aRequest.method == "POST" && aPath == "/control/fault") {
      const auto take = [&](std::string_view aKey, auto& aTo) {
        if (const auto* it = fields.if_contains(aKey)) {
          aTo = it->to_number<std::uint64_t>();
        }
      };
      if (const auto* down = fields.if_contains("down")) {
        mDown = down->as_bool();
      }
      take("stale_versions", mStaleVersions);
      take("delay_ms", mDelayMs);
      take("list_lag_ms", mListLagMs);
      Record("fault",
             { { "down", mDown },
               { "stale_versions", mStaleVersions },
               { "delay_ms", mDelayMs },
               { "list_lag_ms", mListLagMs } });
      Notify();
    } else if (aRequest.method == "POST" && aPath == "/control/note") {
      Record("note", fields);
    } else {
      return { .status = 404, .body = R"({"error":"unknown path"})" };
    }
    return { .body = "{}" };
  }

  void Publish(std::deque<Published>& aTo,
               std::uint64_t aNumber,
               std::string aText,
               std::uint64_t aLagMs)
  {
    const auto lag = std::chrono::milliseconds(aLagMs);
    aTo.push_back({ aNumber,
                    tools::NowMicros() + std::chrono::microseconds(lag).count(),
                    std::move(aText) });
    if (aTo.size() > kKept) {
      aTo.pop_front();
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(mContext);
    timer->expires_after(lag);
    timer->async_wait([this, timer](boost::system::error_code) { Notify(); });
  }

  void Record(std::string_view aEvent, json::object aFields)
  {
    aFields["e"] = aEvent;
    aFields["t"] = tools::NowMicros();
    mHistory.Write(json::serialize(aFields));
    mHistory.Flush();
  }

  boost::asio::io_context mContext{ 1 };
  tools::HistoryWriter mHistory;
  HttpListener mListener;
  std::deque<Published> mDocuments;
  std::deque<Published> mInstances;
  std::vector<std::shared_ptr<Waiter>> mWaiters;
  bool mDown = false;
  std::uint64_t mStaleVersions = 0;
  std::uint64_t mDelayMs = 0;
  std::uint64_t mListLagMs = 0;
  std::uint64_t mConfigReads = 0;
  std::uint64_t mInstanceReads = 0;
  std::uint64_t mBytes = 0;
};

Platform::Platform(const json::object& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

Platform::~Platform() = default;

json::object Platform::Addresses() const
{
  return mImpl->Addresses();
}

void Platform::Run()
{
  mImpl->Run();
}

} // namespace bronzedeal::standin
