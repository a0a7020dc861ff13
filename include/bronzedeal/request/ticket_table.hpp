#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/request/quarantine.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bronzedeal::request {

/// Names one ticket; the text is `instance.incarnation.number`.
struct TicketId
{
  InstanceId instance;
  Incarnation incarnation = 0;
  std::uint64_t number = 0;

  bool operator==(const TicketId&) const = default;
};

[[nodiscard]] std::string ToString(const TicketId& aTicket);
/// Strict: instance of 1 to 64 characters `[A-Za-z0-9._-]`, then two decimal
/// numbers without sign or leading zeros. Error: `InvalidTicket`.
[[nodiscard]] Result<TicketId> ParseTicket(std::string_view aText);

enum class Outcome : std::uint8_t
{
  Ran,
  NotRun,
  Unknown,
};

/// `ran`, `not_run` or `unknown`, as in answers.
[[nodiscard]] std::string_view ToString(Outcome aOutcome) noexcept;
/// The outcome that a result code stands for. A code that promises neither is
/// `Unknown`.
[[nodiscard]] Outcome OutcomeOf(ResultCode aCode) noexcept;

/// Outcome of a non-repeatable request.
struct TicketOutcome
{
  ResultCode code = ResultCode::OutcomeUnknown;
  /// JSON text of the operation's result; empty when there is none, or when
  /// the table dropped it to stay within its bound.
  std::string result;
};

/// The tickets of one incarnation of one instance. Only this table lets a
/// ticket's request run, and only once; when it is lost, no one runs it.
/// Not thread safe: guarded by the caller.
class TicketTable
{
public:
  struct Options
  {
    /// From issue to the latest first use.
    Duration validity = std::chrono::seconds(30);
    /// A record is kept this long after its issue or its outcome.
    Duration recordLifetime = std::chrono::seconds(60);
    std::size_t maxTickets = 100'000;
    /// Over all records; the oldest results are dropped first.
    std::size_t maxResultBytes = std::size_t{ 32 } << 20U;
    /// Duplicates that wait for one running request.
    std::size_t maxWaiters = 16;
  };

  /// First use: the caller must run the request now and call `Complete`.
  struct Run
  {};
  /// The request is running; the waiter is returned by `Complete`.
  struct Wait
  {};
  /// Final: the recorded outcome or the reason of a refusal.
  struct Answer
  {
    TicketOutcome outcome;
  };
  using RedeemResult = std::variant<Run, Wait, Answer>;
  /// Chosen by the caller to find a waiting duplicate again.
  using WaiterId = std::uint64_t;

  TicketTable(InstanceId aInstance, Incarnation aIncarnation);
  TicketTable(InstanceId aInstance,
              Incarnation aIncarnation,
              const Options& aOptions);

  /// A new ticket. Error: `NotRunOverloaded` when the table is full.
  [[nodiscard]] Result<TicketId> Issue(TimePoint aNow);

  /// `aContent` is the fingerprint of kind and content: a ticket that was used
  /// for another content is refused with `InvalidTicket`, stateSince the
  /// outcome of that content says nothing about this one.
  [[nodiscard]] RedeemResult Redeem(const TicketId& aTicket,
                                    const Fingerprint& aContent,
                                    WaiterId aWaiter,
                                    TimePoint aNow);

  /// Records the outcome of a running request and returns the duplicates that
  /// wait for it. Ignored when the request is not running.
  std::vector<WaiterId> Complete(std::uint64_t aNumber,
                                 TicketOutcome aOutcome,
                                 TimePoint aNow);

  /// Forgets expired records, and records `OutcomeUnknown` for requests that
  /// have run for longer than `recordLifetime`. Returns duplicates that waited
  /// for them.
  std::vector<WaiterId> Expire(TimePoint aNow);

  /// Running requests.
  [[nodiscard]] std::size_t RunningCount() const noexcept
  {
    return mRunningCount;
  }
  /// Records of any state.
  [[nodiscard]] std::size_t size() const noexcept { return mRecords.size(); }

private:
  enum class State : std::uint8_t
  {
    Issued,
    Running,
    Done,
  };
  struct Record
  {
    State state = State::Issued;
    TimePoint stateSince{};
    Fingerprint content{};
    TicketOutcome outcome;
    std::vector<WaiterId> waiters;
  };

  [[nodiscard]] Record* Find(std::uint64_t aNumber) noexcept;
  void DropOldestResults();

  InstanceId mInstance;
  Incarnation mIncarnation;
  Options mOptions;
  /// Records of consecutive numbers from `mFirstNumber`.
  std::deque<Record> mRecords;
  std::uint64_t mFirstNumber = 1;
  std::size_t mRunningCount = 0;
  std::size_t mResultBytes = 0;
};

} // namespace bronzedeal::request
