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

/// Identifies a ticket; written as `instance.incarnation.number`.
struct TicketId
{
  InstanceId instance;
  Incarnation incarnation = 0;
  std::uint64_t number = 0;

  bool operator==(const TicketId&) const = default;
};

[[nodiscard]] std::string ToString(const TicketId& aTicket);
/// Accepts only the text that `ToString` writes: an instance of 1 to 64
/// characters of `[A-Za-z0-9._-]`, then two decimal numbers without sign or
/// leading zeros, the second above 0. Error: `InvalidTicket`.
[[nodiscard]] Result<TicketId> ParseTicket(std::string_view aText);

/// Whether a request ran.
enum class Outcome : std::uint8_t
{
  Ran,
  NotRun,
  Unknown,
};

/// Returns `ran`, `not_run` or `unknown`, as in answers.
[[nodiscard]] std::string_view ToString(Outcome aOutcome) noexcept;
/// Returns the outcome that a result code stands for; `Unknown` for a code that
/// guarantees neither of the others.
[[nodiscard]] Outcome OutcomeOf(ResultCode aCode) noexcept;

/// Outcome of a non-repeatable request.
struct TicketOutcome
{
  ResultCode code = ResultCode::OutcomeUnknown;
  /// JSON text of the operation's result; empty when there is none, or when the
  /// table dropped it to stay within `maxResultBytes`.
  std::string result;
};

/// The tickets that one incarnation of one instance has issued. A request may
/// run only when `Redeem` on this table returns `Run`, which it does at most
/// once per ticket; when the table is lost, its open tickets can no longer run.
/// Not thread safe: the caller synchronizes access.
class TicketTable
{
public:
  struct Options
  {
    /// Longest time from the issue of a ticket to its first use.
    Duration validity = std::chrono::seconds(30);
    /// A record is kept for at least this long after its issue, its first use
    /// or its completion, whichever is last.
    Duration recordLifetime = std::chrono::seconds(60);
    /// Bound on the records.
    std::size_t maxTickets = 100'000;
    /// Bound on the results of all records; the oldest results are dropped
    /// first.
    std::size_t maxResultBytes = std::size_t{ 32 } << 20U;
    /// Duplicates that may wait for one running request.
    std::size_t maxWaiters = 16;
  };

  /// First use: the caller must run the request now and then call `Complete`.
  struct Run
  {};
  /// The request is running; `Complete` or `Expire` returns the waiter.
  struct Wait
  {};
  /// The recorded outcome, or the reason of a refusal.
  struct Answer
  {
    TicketOutcome outcome;
  };
  using RedeemResult = std::variant<Run, Wait, Answer>;
  /// Chosen by the caller to identify a waiting duplicate.
  using WaiterId = std::uint64_t;

  TicketTable(InstanceId aInstance, Incarnation aIncarnation);
  TicketTable(InstanceId aInstance,
              Incarnation aIncarnation,
              const Options& aOptions);

  /// Issues a new ticket. Error: `NotRunOverloaded` when the table is full.
  [[nodiscard]] Result<TicketId> Issue(TimePoint aNow);

  /// Uses a ticket. `aContent` is the fingerprint of kind and content; a ticket
  /// that was used for another content is refused with `InvalidTicket`, because
  /// the outcome of that content says nothing about this one.
  [[nodiscard]] RedeemResult Redeem(const TicketId& aTicket,
                                    const Fingerprint& aContent,
                                    WaiterId aWaiter,
                                    TimePoint aNow);

  /// Records the outcome of a running request and returns the duplicates that
  /// wait for it. Has no effect when the request is not running.
  std::vector<WaiterId> Complete(std::uint64_t aNumber,
                                 TicketOutcome aOutcome,
                                 TimePoint aNow);

  /// Removes expired records. A request that has run for longer than
  /// `recordLifetime` gets the outcome `OutcomeUnknown`, and the duplicates
  /// that wait for it are returned.
  std::vector<WaiterId> Expire(TimePoint aNow);

  /// Number of running requests.
  [[nodiscard]] std::size_t RunningCount() const noexcept
  {
    return mRunningCount;
  }
  /// Number of records in any state.
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
  /// Drops the oldest results while they exceed `maxResultBytes`.
  void DropOldestResults();

  InstanceId mInstance;
  Incarnation mIncarnation;
  Options mOptions;
  /// Records of consecutive ticket numbers, starting with `mFirstNumber`.
  std::deque<Record> mRecords;
  std::uint64_t mFirstNumber = 1;
  std::size_t mRunningCount = 0;
  std::size_t mResultBytes = 0;
};

} // namespace bronzedeal::request
