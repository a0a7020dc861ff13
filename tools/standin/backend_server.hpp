#pragma once

#include "history.hpp"
#include "http_listener.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::standin {

/// What a backend server does with work that arrives.
enum class ServerState
{
  Ok,
  Cold,
  Draining,
  Down,
};

struct BackendOptions
{
  std::string id;
  std::string failureDomain;
  std::string address = "127.0.0.1:0";
  unsigned slots = 2;
  unsigned connections = 25;
  double connectMs = 6;
  /// Median and shape of the log-normal service time.
  double serviceMs = 8;
  double sigma = 0.3;
  double stragglerShare = 0;
  double stragglerFactor = 20;
  unsigned coldAllowance = 1;
  unsigned warmCompletions = 8;
  /// Time that a crashed or overrun server refuses connections.
  double restartMs = 2000;
  /// Age of what the health and load endpoints tell, and the share of their
  /// answers that claim a healthy idle server whatever the truth.
  double reportLagMs = 1000;
  double misleadingShare = 0.1;
  std::uint64_t seed = 1;
  /// Index versions held, with the shards of each.
  std::map<std::uint64_t, std::set<std::string, std::less<>>> versions;
};

/// Changes the given fields only; throws std::exception on a wrong type.
void ApplyOptions(const boost::json::object& aFields, BackendOptions& aOptions);

/// One backend server with its own port. All calls happen on the thread that
/// runs the context.
class BackendServer
{
public:
  BackendServer(boost::asio::io_context& aContext,
                BackendOptions aOptions,
                tools::HistoryWriter& aHistory);
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;
  ~BackendServer() = default;

  void Open();
  /// Records work that still runs, at the end of the process.
  void RecordUnfinished();
  /// Takes the fields of `POST /control/server`: options and `state`.
  void Control(const boost::json::object& aFields);

  [[nodiscard]] const BackendOptions& GetOptions() const noexcept
  {
    return mOptions;
  }
  [[nodiscard]] const std::string& Address() const noexcept
  {
    return mListener.Address();
  }
  [[nodiscard]] boost::json::object Describe() const;

private:
  struct Work;

  void Handle(HttpRequest&& aRequest, HttpAnswer aAnswer);
  void HandleWork(std::string_view aPath,
                  HttpRequest& aRequest,
                  HttpAnswer aAnswer);
  void HandleCancel(std::string_view aId, const HttpAnswer& aAnswer);
  void Finish(const std::shared_ptr<Work>& aWork,
              std::string_view aOutcome,
              HttpResponse aResponse);
  void Refuse(Work& aWork, std::string_view aOutcome, unsigned aStatus);
  void CountAnswer(bool aCompleted);
  void Crash(std::string_view aReason);
  void SetState(ServerState aState, std::string_view aReason);
  void StartCold(std::string_view aReason, bool aSilently);
  void Record(const Work& aWork, std::string_view aOutcome);
  [[nodiscard]] bool InGrace() const;
  [[nodiscard]] unsigned Allowance() const noexcept;
  [[nodiscard]] double ServiceMs();
  [[nodiscard]] std::string HealthBody();
  [[nodiscard]] std::string LoadBody();

  boost::asio::io_context& mContext;
  BackendOptions mOptions;
  tools::HistoryWriter& mHistory;
  HttpListener mListener;
  boost::asio::steady_timer mRestartTimer;
  std::mt19937_64 mRandom;
  std::vector<std::shared_ptr<Work>> mRunning;
  ServerState mState = ServerState::Ok;
  /// Changes of state with their time, for the lagging health endpoint.
  std::deque<std::pair<std::int64_t, ServerState>> mStates;
  std::int64_t mLoadSampledAt = 0;
  std::size_t mSampledLoad = 0;
  unsigned mAllowance = 0;
  unsigned mCompletions = 0;
  /// Answers left until a sender must have noticed a silent cold start, and
  /// the end of the time that the last of them takes to arrive.
  unsigned mGraceAnswers = 0;
  std::int64_t mGraceUntil = 0;
  double mSlowFactor = 1;
};

} // namespace bronzedeal::standin
