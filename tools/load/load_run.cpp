#include "load_run.hpp"

#include "../standin/history.hpp"
#include "caller.hpp"
#include "http_client.hpp"
#include "report.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <glog/logging.h>
#include <iterator>

namespace bronzedeal::load {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

/// A caller tries at most this many instances for one request.
constexpr std::size_t kAttempts = 3;
/// Beyond the deadline that the instance knows, so that its answer arrives.
constexpr std::chrono::milliseconds kAnswerGrace{ 250 };
/// Time for the first address answers before the arrivals begin.
constexpr std::chrono::milliseconds kStartTime{ 2000 };
/// Below this much time left, another attempt can't succeed.
constexpr std::chrono::milliseconds kLeastTimeLeft{ 5 };

std::int64_t Micros(Clock::time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

std::int64_t MillisLeft(Clock::time_point aUntil)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aUntil -
                                                               Clock::now())
    .count();
}

/// Codes of instances that refuse because of themselves: another may serve.
bool TryElsewhere(std::int64_t aCode)
{
  return aCode == 202 || aCode == 208 || aCode == 209;
}

/// What one answer to a query says, checked against its own request.
struct Answer
{
  json::object record;
  std::int64_t code = -1;
  bool answered = false;
  bool whole = false;
  double coverage = 0;
};

/// Notes the shards whose results belong to another request or shard, and the
/// index versions of all results.
void CheckResults(const json::array& aResults,
                  std::string_view aContent,
                  json::object& aRecord)
{
  std::set<std::int64_t> versions;
  json::array shards;
  json::array foreign;
  for (const auto& it : aResults) {
    const auto& result = it.as_object();
    const auto& shard = result.at("shard").as_string();
    shards.emplace_back(shard);
    const auto& hits = result.at("hits").as_array();
    auto own = !hits.empty();
    for (const auto& hit : hits) {
      const auto& fields = hit.as_object();
      own = own && fields.at("content").as_string() == aContent &&
            fields.at("shard").as_string() == shard;
      versions.insert(fields.at("version").to_number<std::int64_t>());
    }
    if (!own) {
      foreign.emplace_back(shard);
    }
  }
  aRecord["result_shards"] = std::move(shards);
  aRecord["foreign"] = std::move(foreign);
  aRecord["hit_versions"] = json::array(versions.begin(), versions.end());
}

Answer ReadAnswer(const ClientResponse& aResponse, std::string_view aContent)
{
  Answer answer;
  boost::system::error_code ec;
  const auto value = json::parse(aResponse.body, ec);
  try {
    if (ec) {
      throw std::invalid_argument(ec.message());
    }
    const auto& body = value.as_object();
    answer.code = body.at("code").to_number<std::int64_t>();
    for (const auto* key :
         { "request_id", "config_version", "index_version" }) {
      if (const auto* it = body.if_contains(key)) {
        answer.record[key] = *it;
      }
    }
    answer.answered = answer.code < 100;
    if (answer.answered) {
      const auto& coverage = body.at("coverage").as_object();
      const auto& missing = coverage.at("missing").as_array();
      answer.coverage = coverage.at("ratio").to_number<double>();
      answer.whole = answer.code == 0 && missing.empty();
      answer.record["ratio"] = answer.coverage;
      answer.record["included"] = coverage.at("included");
      json::array lost;
      for (const auto& it : missing) {
        lost.push_back(
          json::array{ it.at("shard"), it.at("code").to_number<int>() });
      }
      answer.record["missing"] = std::move(lost);
      CheckResults(body.at("results").as_array(), aContent, answer.record);
    }
  } catch (const std::exception& e) {
    answer.record["malformed"] = e.what();
    answer.answered = answer.whole = false;
  }
  return answer;
}

/// Shards and servers of direct mode.
struct DirectMap
{
  std::uint64_t indexVersion = 0;
  std::size_t slots = 0;
  std::vector<std::pair<std::string, std::vector<std::string>>> shards;
};

DirectMap ReadDirect(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    throw std::runtime_error("cannot read " + aFile);
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto value = json::parse(text);
  const auto& fields = value.as_object();
  DirectMap map;
  map.indexVersion = fields.at("index_version").to_number<std::uint64_t>();
  map.slots = fields.at("slots").to_number<std::size_t>();
  for (const auto& [shard, servers] : fields.at("shards").as_object()) {
    map.shards.emplace_back(shard,
                            json::value_to<std::vector<std::string>>(servers));
  }
  return map;
}

class Run
{
public:
  explicit Run(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mDirect(aOptions.directFile.empty() ? DirectMap{}
                                          : ReadDirect(aOptions.directFile))
    , mClient(mContext, mDirect.slots)
    , mHistory(std::make_shared<tools::HistoryFile>(aOptions.history))
    , mRandom(aOptions.seed)
    , mArrival(mContext)
    , mSignals(mContext, SIGTERM, SIGINT)
  {
    if (!Direct()) {
      if (aOptions.seeds.empty() || aOptions.traffic.empty()) {
        throw std::invalid_argument("seeds and traffic are needed");
      }
      for (unsigned i = 0; i < std::max(aOptions.callers, 1U); ++i) {
        mCallers.push_back(
          std::make_unique<Caller>(mContext,
                                   mClient,
                                   aOptions.seeds,
                                   aOptions.traffic[0].customer,
                                   aOptions.traffic[0].kind,
                                   aOptions.seed + i + 1));
      }
    }
  }

  json::object Execute()
  {
    mSignals.async_wait([this](boost::system::error_code aError, int) {
      if (!aError) {
        mEnd = Clock::now();
      }
    });
    for (const auto& it : mCallers) {
      it->Start();
    }
    mEnd = Clock::now() + kStartTime;
    WaitForAddresses();
    mContext.run();
    mHistory.Flush();
    return mReport.ToJson(std::chrono::duration<double>(mEnd - mBegin).count());
  }

private:
  struct Query
  {
    Caller* caller = nullptr;
    const Traffic* traffic = nullptr;
    std::string content;
    bool unique = false;
    bool crash = false;
    Clock::time_point intended;
    Clock::time_point deadline;
    std::set<std::string> tried;
    json::array attempts;
  };

  struct Operation
  {
    Caller* caller = nullptr;
    const Traffic* traffic = nullptr;
    std::string content;
    std::string shard;
    std::string ticket;
    bool duplicate = false;
    Clock::time_point intended;
    Clock::time_point deadline;
    std::set<std::string> tried;
    json::array attempts;
    /// Attempts without a result so far.
    std::size_t pending = 0;
    std::string outcome;
    std::int64_t code = -1;
  };

  struct DirectQuery
  {
    std::string content;
    Clock::time_point intended;
    std::size_t waiting = 0;
    std::size_t good = 0;
    std::size_t all = 0;
  };

  [[nodiscard]] bool Direct() const { return !mOptions.directFile.empty(); }

  void WaitForAddresses()
  {
    const auto ready =
      std::all_of(mCallers.begin(), mCallers.end(), [](const auto& aCaller) {
        return aCaller->HasAnswer();
      });
    if (!ready && Clock::now() < mEnd) {
      mArrival.expires_after(std::chrono::milliseconds(20));
      mArrival.async_wait(
        [this](boost::system::error_code) { WaitForAddresses(); });
      return;
    }
    mBegin = Clock::now();
    mEnd = mBegin + std::chrono::duration_cast<Clock::duration>(
                      std::chrono::duration<double>(mOptions.seconds));
    mNext = mBegin;
    Arrive();
  }

  void Arrive()
  {
    std::exponential_distribution<double> gap(mOptions.rate);
    // Arrivals that are due while the process was busy keep their intended
    // start, so that a slow client shows in the latency.
    while (mNext <= Clock::now() && mNext < mEnd) {
      Begin(mNext);
      mNext += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(gap(mRandom)));
    }
    if (mNext >= mEnd) {
      mArrivalsEnded = true;
      EndWhenIdle();
      return;
    }
    mArrival.expires_at(mNext);
    mArrival.async_wait([this](boost::system::error_code) { Arrive(); });
  }

  void EndWhenIdle()
  {
    if (mArrivalsEnded && mOpen == 0) {
      mSignals.cancel();
      for (const auto& it : mCallers) {
        it->Stop();
      }
    }
  }

  [[nodiscard]] bool Draw(double aShare)
  {
    return std::uniform_real_distribution<double>()(mRandom) < aShare;
  }

  template<typename T>
  [[nodiscard]] const T& Any(const std::vector<T>& aFrom)
  {
    std::uniform_int_distribution<std::size_t> index(0, aFrom.size() - 1);
    return aFrom[index(mRandom)];
  }

  [[nodiscard]] const Traffic& AnyTraffic(const std::vector<Traffic>& aFrom)
  {
    double sum = 0;
    for (const auto& it : aFrom) {
      sum += it.weight;
    }
    auto left = std::uniform_real_distribution<double>(0, sum)(mRandom);
    for (const auto& it : aFrom) {
      left -= it.weight;
      if (left < 0) {
        return it;
      }
    }
    return aFrom.back();
  }

  void Begin(Clock::time_point aIntended)
  {
    ++mOpen;
    if (Direct()) {
      BeginDirect(aIntended);
      return;
    }
    auto* caller = Any(mCallers).get();
    const auto deadline =
      aIntended + std::chrono::milliseconds(mOptions.deadlineMs);
    if (Draw(mOptions.operationShare)) {
      auto operation = std::make_shared<Operation>();
      operation->caller = caller;
      operation->traffic = &AnyTraffic(mOptions.operationTraffic);
      operation->content = fmt::format("op-{}-{}", mOptions.seed, ++mNumber);
      operation->shard = Any(mOptions.operationShards);
      operation->duplicate = Draw(mOptions.duplicateShare);
      operation->intended = aIntended;
      operation->deadline = deadline;
      AskTicket(operation);
      return;
    }
    auto query = std::make_shared<Query>();
    query->caller = caller;
    query->crash = Draw(mOptions.crashShare);
    // One request that is sent again and again has one kind.
    query->traffic =
      query->crash ? &mOptions.traffic.front() : &AnyTraffic(mOptions.traffic);
    if (!query->crash) {
      mReport.Offer();
    }
    query->unique = !query->crash && Draw(mOptions.uniqueShare);
    query->content =
      query->crash ? fmt::format("poison-{}", mOptions.seed)
      : query->unique
        ? fmt::format("unique-{}-{}", mOptions.seed, ++mNumber)
        : fmt::format("content-{}",
                      mRandom() % std::max(mOptions.contents, 1U));
    query->intended = aIntended;
    query->deadline = deadline;
    SendQuery(query);
  }

  [[nodiscard]] static json::object Labels(const Traffic& aTraffic)
  {
    return { { "caller", { { "customer", aTraffic.customer } } },
             { "request", { { "kind", aTraffic.kind } } } };
  }

  // Queries.

  void SendQuery(const std::shared_ptr<Query>& aQuery)
  {
    auto body = Labels(*aQuery->traffic);
    json::object content{ { "content_id", aQuery->content } };
    if (aQuery->crash) {
      content["crash_marker"] = true;
    }
    body["query"] = std::move(content);
    body["deadline_ms"] =
      std::max<std::int64_t>(MillisLeft(aQuery->deadline), 1);
    body["min_coverage"] = mOptions.minCoverage;
    const auto address = aQuery->caller->Choose(aQuery->tried);
    aQuery->tried.insert(address);
    const auto begin = tools::NowMicros();
    mClient.Send(
      address,
      { .target = "/v1/query", .body = json::serialize(body) },
      aQuery->deadline + kAnswerGrace,
      [this, aQuery, address, begin](const ClientResponse& aResponse) {
        auto answer = aResponse.error == ClientError::None
                        ? ReadAnswer(aResponse, aQuery->content)
                        : Answer{};
        aQuery->attempts.push_back(
          json::object{ { "address", address },
                        { "t0", begin },
                        { "t1", tools::NowMicros() },
                        { "result", NameOf(aResponse.error) },
                        { "code", answer.code } });
        const auto again =
          aResponse.error != ClientError::None || TryElsewhere(answer.code);
        if (again && aQuery->tried.size() < kAttempts &&
            Clock::now() + kLeastTimeLeft < aQuery->deadline) {
          mReport.CountResend();
          SendQuery(aQuery);
          return;
        }
        FinishQuery(*aQuery, aResponse, std::move(answer));
      });
  }

  void FinishQuery(const Query& aQuery,
                   const ClientResponse& aResponse,
                   Answer aAnswer)
  {
    const auto begin = Micros(aQuery.intended);
    const auto end = tools::NowMicros();
    const auto code = aAnswer.code >= 0 ? std::to_string(aAnswer.code)
                                        : std::string(NameOf(aResponse.error));
    // The marked requests of fault tests count among the codes only.
    if (!aQuery.crash) {
      mReport.Done(
        code, aAnswer.answered, aAnswer.whole, aAnswer.coverage, end - begin);
    } else {
      mReport.CountMarked(code);
    }
    if (mHistory.Enabled()) {
      auto& record = aAnswer.record;
      record["e"] = "query";
      record["t0"] = begin;
      record["t1"] = end;
      record["content"] = aQuery.content;
      record["unique"] = aQuery.unique;
      record["crash"] = aQuery.crash;
      record["customer"] = aQuery.traffic->customer;
      record["kind"] = aQuery.traffic->kind;
      record["status"] = aResponse.status;
      record["code"] = aAnswer.code;
      record["attempts"] = aQuery.attempts;
      mHistory.Write(json::serialize(record));
    }
    --mOpen;
    EndWhenIdle();
  }

  // Operations.

  void AskTicket(const std::shared_ptr<Operation>& aOperation)
  {
    const auto address = aOperation->caller->Choose(aOperation->tried);
    aOperation->tried.insert(address);
    mClient.Send(
      address,
      { .target = "/v1/tickets", .body = "{}" },
      aOperation->deadline,
      [this, aOperation, address](const ClientResponse& aResponse) {
        boost::system::error_code ec;
        const auto value = json::parse(aResponse.body, ec);
        const auto* ticket = !ec && value.is_object()
                               ? value.as_object().if_contains("ticket")
                               : nullptr;
        if (aResponse.status == 200 && ticket != nullptr &&
            ticket->is_string()) {
          aOperation->ticket = ticket->as_string();
          aOperation->tried = { address };
          SendOperation(aOperation, address);
          if (aOperation->duplicate) {
            SendElsewhere(aOperation);
          }
        } else if (aOperation->tried.size() < kAttempts &&
                   Clock::now() + kLeastTimeLeft < aOperation->deadline) {
          AskTicket(aOperation);
        } else {
          aOperation->outcome = "no_ticket";
          FinishOperation(*aOperation);
        }
      });
  }

  void SendElsewhere(const std::shared_ptr<Operation>& aOperation)
  {
    const auto address = aOperation->caller->Choose(aOperation->tried);
    aOperation->tried.insert(address);
    mReport.CountResend();
    SendOperation(aOperation, address);
  }

  void SendOperation(const std::shared_ptr<Operation>& aOperation,
                     const std::string& aAddress)
  {
    auto body = Labels(*aOperation->traffic);
    body["ticket"] = aOperation->ticket;
    body["shard"] = aOperation->shard;
    body["operation"] = { { "content_id", aOperation->content } };
    body["deadline_ms"] =
      std::max<std::int64_t>(MillisLeft(aOperation->deadline), 1);
    ++aOperation->pending;
    const auto begin = tools::NowMicros();
    // Gives up early enough to ask another instance with the same ticket.
    const auto left = aOperation->deadline - Clock::now();
    mClient.Send(
      aAddress,
      { .target = "/v1/operations", .body = json::serialize(body) },
      Clock::now() + left / 2 + kAnswerGrace,
      [this, aOperation, aAddress, begin](const ClientResponse& aResponse) {
        --aOperation->pending;
        const auto outcome = TakeOutcome(*aOperation, aResponse);
        aOperation->attempts.push_back(
          json::object{ { "address", aAddress },
                        { "t0", begin },
                        { "t1", tools::NowMicros() },
                        { "result", NameOf(aResponse.error) },
                        { "outcome", outcome },
                        { "code", aOperation->code } });
        if (outcome.empty() && aOperation->outcome.empty() &&
            aOperation->tried.size() < kAttempts &&
            Clock::now() + kLeastTimeLeft < aOperation->deadline) {
          SendElsewhere(aOperation);
        } else if (aOperation->pending == 0) {
          FinishOperation(*aOperation);
        }
      });
  }

  /// The outcome that an answer gives; empty without one.
  static std::string TakeOutcome(Operation& aOperation,
                                 const ClientResponse& aResponse)
  {
    boost::system::error_code ec;
    const auto value = json::parse(aResponse.body, ec);
    if (ec || !value.is_object()) {
      return "";
    }
    const auto& body = value.as_object();
    const auto* code = body.if_contains("code");
    const auto* outcome = body.if_contains("outcome");
    if (code != nullptr && code->is_number()) {
      aOperation.code = code->to_number<std::int64_t>();
    }
    if (outcome == nullptr || !outcome->is_string()) {
      return "";
    }
    std::string name(outcome->as_string());
    if (aOperation.outcome.empty() || name == "ran") {
      aOperation.outcome = name;
    }
    return name;
  }

  void FinishOperation(const Operation& aOperation)
  {
    const auto end = tools::NowMicros();
    const auto begin = Micros(aOperation.intended);
    const auto outcome =
      aOperation.outcome.empty() ? "no_answer" : aOperation.outcome;
    mReport.DoneOperation(outcome, end - begin);
    if (mHistory.Enabled()) {
      mHistory.Write(json::serialize(
        json::object{ { "e", "operation" },
                      { "t0", begin },
                      { "t1", end },
                      { "content", aOperation.content },
                      { "ticket", aOperation.ticket },
                      { "customer", aOperation.traffic->customer },
                      { "kind", aOperation.traffic->kind },
                      { "shard", aOperation.shard },
                      { "outcome", outcome },
                      { "code", aOperation.code },
                      { "attempts", aOperation.attempts } }));
    }
    --mOpen;
    EndWhenIdle();
  }

  // Direct mode.

  void BeginDirect(Clock::time_point aIntended)
  {
    mReport.Offer();
    auto query = std::make_shared<DirectQuery>();
    query->content = fmt::format("direct-{}", ++mNumber);
    query->intended = aIntended;
    const auto shards = mDirect.shards.size();
    query->all = mOptions.fanOut == 0
                   ? shards
                   : std::min<std::size_t>(mOptions.fanOut, shards);
    query->waiting = query->all;
    const auto body =
      json::serialize(json::object{ { "content_id", query->content } });
    const auto until =
      aIntended + std::chrono::milliseconds(mOptions.deadlineMs);
    const auto first = mRandom() % shards;
    for (std::size_t i = 0; i < query->all; ++i) {
      const auto& [shard, servers] = mDirect.shards[(first + i) % shards];
      mClient.Send(Any(servers),
                   { .target = fmt::format("/v1/shards/{}/search", shard),
                     .body = body,
                     .requestId = fmt::format("{}-{}", query->content, i),
                     .indexVersion = mDirect.indexVersion,
                     .deadlineMs = mOptions.deadlineMs },
                   until,
                   [this, query](const ClientResponse& aResponse) {
                     query->good += aResponse.status == 200 ? 1 : 0;
                     if (--query->waiting > 0) {
                       return;
                     }
                     const auto whole = query->good == query->all;
                     mReport.Done(whole ? "0" : "1",
                                  query->good > 0,
                                  whole,
                                  static_cast<double>(query->good) /
                                    static_cast<double>(query->all),
                                  tools::NowMicros() - Micros(query->intended));
                     --mOpen;
                     EndWhenIdle();
                   });
    }
  }

  const LoadOptions& mOptions;
  DirectMap mDirect;
  boost::asio::io_context mContext{ 1 };
  HttpClient mClient;
  tools::HistoryWriter mHistory;
  std::mt19937_64 mRandom;
  boost::asio::steady_timer mArrival;
  boost::asio::signal_set mSignals;
  std::vector<std::unique_ptr<Caller>> mCallers;
  Report mReport;
  Clock::time_point mBegin;
  Clock::time_point mEnd;
  Clock::time_point mNext;
  std::uint64_t mNumber = 0;
  std::size_t mOpen = 0;
  bool mArrivalsEnded = false;
};

} // namespace

Traffic ParseTraffic(const std::string& aText)
{
  const auto slash = aText.find('/');
  const auto equals = aText.find('=', slash);
  if (slash == std::string::npos || slash == 0 || slash + 1 == aText.size()) {
    throw std::invalid_argument("traffic must be CUSTOMER/KIND[=WEIGHT]: " +
                                aText);
  }
  return { aText.substr(0, slash),
           aText.substr(slash + 1, equals - slash - 1),
           equals == std::string::npos ? 1
                                       : std::stod(aText.substr(equals + 1)) };
}

json::object RunLoad(const LoadOptions& aOptions)
{
  if (aOptions.operationShare > 0 &&
      (aOptions.operationTraffic.empty() || aOptions.operationShards.empty())) {
    throw std::invalid_argument("operations need their traffic and shards");
  }
  if (aOptions.rate <= 0 || aOptions.seconds <= 0) {
    throw std::invalid_argument("rate and duration must be above 0");
  }
  Run run(aOptions);
  return run.Execute();
}

} // namespace bronzedeal::load
