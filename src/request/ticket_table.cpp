#include "bronzedeal/request/ticket_table.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>
#include <optional>
#include <utility>

namespace bronzedeal::request {

namespace {

using enum ResultCode;

constexpr std::size_t kMaxInstanceNameLength = 64;

bool IsInstanceName(std::string_view aText) noexcept
{
  return !aText.empty() && aText.size() <= kMaxInstanceNameLength &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= 'a' && aChar <= 'z') ||
                  (aChar >= 'A' && aChar <= 'Z') ||
                  (aChar >= '0' && aChar <= '9') || aChar == '.' ||
                  aChar == '_' || aChar == '-';
         });
}

/// A decimal number without sign, spaces or leading zeros.
std::optional<std::uint64_t> ParseNumber(std::string_view aText) noexcept
{
  if (aText.empty() || (aText.size() > 1 && aText.front() == '0')) {
    return std::nullopt;
  }
  std::uint64_t n = 0;
  const auto* end = aText.data() + aText.size();
  const auto [last, ec] = std::from_chars(aText.data(), end, n);
  if (ec != std::errc{} || last != end) {
    return std::nullopt;
  }
  return n;
}

} // namespace

std::string ToString(const TicketId& aTicket)
{
  return fmt::format(
    "{}.{}.{}", aTicket.instance, aTicket.incarnation, aTicket.number);
}

Result<TicketId> ParseTicket(std::string_view aText)
{
  // The name of an instance may contain dots; the numbers are the last two
  // parts.
  const auto second = aText.rfind('.');
  if (second != std::string_view::npos && second > 0) {
    const auto first = aText.rfind('.', second - 1);
    if (first != std::string_view::npos) {
      const auto instance = aText.substr(0, first);
      const auto incarnation =
        ParseNumber(aText.substr(first + 1, second - first - 1));
      const auto number = ParseNumber(aText.substr(second + 1));
      if (IsInstanceName(instance) && incarnation && number && *number > 0) {
        return TicketId{ InstanceId(instance), *incarnation, *number };
      }
    }
  }
  return boost::leaf::new_error(
    Error{ InvalidTicket,
           "the ticket is not of the form instance.incarnation.number",
           {} });
}

std::string_view ToString(Outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

Outcome OutcomeOf(ResultCode aCode) noexcept
{
  if (IsNotRun(aCode)) {
    return Outcome::NotRun;
  }
  return static_cast<int>(aCode) < 100 ? Outcome::Ran : Outcome::Unknown;
}

TicketTable::TicketTable(InstanceId aInstance, Incarnation aIncarnation)
  : TicketTable(std::move(aInstance), aIncarnation, Options{})
{
}

TicketTable::TicketTable(InstanceId aInstance,
                         Incarnation aIncarnation,
                         const Options& aOptions)
  : mInstance(std::move(aInstance))
  , mIncarnation(aIncarnation)
  , mOptions(aOptions)
{
}

Result<TicketId> TicketTable::Issue(TimePoint aNow)
{
  if (mRecords.size() >= mOptions.maxTickets) {
    return boost::leaf::new_error(
      Error{ NotRunOverloaded, "too many tickets are open", {} });
  }
  mRecords.emplace_back().stateSince = aNow;
  return TicketId{ mInstance,
                   mIncarnation,
                   mFirstNumber + mRecords.size() - 1 };
}

TicketTable::Record* TicketTable::Find(std::uint64_t aNumber) noexcept
{
  return aNumber >= mFirstNumber && aNumber - mFirstNumber < mRecords.size()
           ? &mRecords[aNumber - mFirstNumber]
           : nullptr;
}

TicketTable::RedeemResult TicketTable::Redeem(const TicketId& aTicket,
                                              const Fingerprint& aContent,
                                              WaiterId aWaiter,
                                              TimePoint aNow)
{
  const auto answer = [](ResultCode aCode) {
    return Answer{ TicketOutcome{ aCode, {} } };
  };
  if (aTicket.instance != mInstance) {
    return answer(OutcomeUnknown);
  }
  if (aTicket.incarnation != mIncarnation) {
    return answer(OutcomeUnknownIssuerGone);
  }
  auto* record = Find(aTicket.number);
  if (record == nullptr) {
    // A ticket that was never issued can't have run.
    return answer(aTicket.number < mFirstNumber ? OutcomeUnknownRecordExpired
                                                : InvalidTicket);
  }
  if (record->state == State::Issued) {
    if (aNow - record->stateSince >= mOptions.validity) {
      // The expiry is recorded, so that a later call with an older clock
      // reading can't use the ticket.
      record->state = State::Done;
      record->outcome.code = NotRunTicketExpired;
      return Answer{ record->outcome };
    }
    record->state = State::Running;
    record->stateSince = aNow;
    record->content = aContent;
    ++mRunningCount;
    return Run{};
  }
  if (record->content != aContent &&
      record->outcome.code != NotRunTicketExpired) {
    return answer(InvalidTicket);
  }
  if (record->state == State::Done) {
    return Answer{ record->outcome };
  }
  if (record->waiters.size() >= mOptions.maxWaiters) {
    return answer(OutcomeUnknown);
  }
  record->waiters.push_back(aWaiter);
  return Wait{};
}

std::vector<TicketTable::WaiterId> TicketTable::Complete(std::uint64_t aNumber,
                                                         TicketOutcome aOutcome,
                                                         TimePoint aNow)
{
  auto* record = Find(aNumber);
  if (record == nullptr || record->state != State::Running) {
    return {};
  }
  --mRunningCount;
  record->state = State::Done;
  record->stateSince = aNow;
  record->outcome = std::move(aOutcome);
  mResultBytes += record->outcome.result.size();
  DropOldestResults();
  return std::exchange(record->waiters, {});
}

void TicketTable::DropOldestResults()
{
  for (auto it = mRecords.begin();
       it != mRecords.end() && mResultBytes > mOptions.maxResultBytes;
       ++it) {
    mResultBytes -= it->outcome.result.size();
    it->outcome.result = {};
  }
}

std::vector<TicketTable::WaiterId> TicketTable::Expire(TimePoint aNow)
{
  std::vector<WaiterId> waiters;
  while (!mRecords.empty() &&
         aNow - mRecords.front().stateSince >= mOptions.recordLifetime) {
    auto& record = mRecords.front();
    if (record.state == State::Running) {
      const auto released = Complete(mFirstNumber, {}, aNow);
      std::copy(released.begin(), released.end(), std::back_inserter(waiters));
      break;
    }
    mResultBytes -= record.outcome.result.size();
    mRecords.pop_front();
    ++mFirstNumber;
  }
  return waiters;
}

} // namespace bronzedeal::request
