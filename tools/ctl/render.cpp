#include "render.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <map>
#include <tuple>

namespace bronzedeal::ctl {

namespace json = boost::json;

namespace {

/// Prints rows with columns as wide as their longest cell; the first row is the
/// heading.
void PrintTable(std::ostream& aOut,
                const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += fmt::format("{:<{}}  ", row[n], widths[n]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << '\n';
  }
}

std::int64_t Integer(const json::value& aValue, std::string_view aKey)
{
  const auto* object = aValue.if_object();
  const auto* it = object == nullptr ? nullptr : object->if_contains(aKey);
  json::error_code ec;
  const auto result = it == nullptr ? 0 : it->to_number<std::int64_t>(ec);
  return ec ? 0 : result;
}

bool IsTrue(const json::value& aValue, std::string_view aKey)
{
  const auto* object = aValue.if_object();
  const auto* it = object == nullptr ? nullptr : object->if_contains(aKey);
  return it != nullptr && it->is_bool() && it->get_bool();
}

std::string ErrorLine(const json::value& aError)
{
  return fmt::format("{} {}: {}",
                     Field(aError, "code"),
                     Field(aError, "code_name"),
                     Field(aError, "message"));
}

/// Sort key of an event: configuration version, time as number, time as text.
using EventKey = std::tuple<std::int64_t, std::int64_t, std::string>;

EventKey KeyOf(const json::value& aEvent)
{
  return { Integer(aEvent, "config_version"),
           Integer(aEvent, "time"),
           Field(aEvent, "time") };
}

} // namespace

std::string Field(const json::value& aValue, std::string_view aKey)
{
  const auto* object = aValue.if_object();
  const auto* it = object == nullptr ? nullptr : object->if_contains(aKey);
  if (it == nullptr) {
    return "-";
  }
  const auto* text = it->if_string();
  return text == nullptr ? json::serialize(*it) : std::string(*text);
}

const json::array& Elements(const json::value& aValue, std::string_view aKey)
{
  static const json::array kEmpty;
  const auto* object = aValue.if_object();
  const auto* it = object == nullptr ? nullptr : object->if_contains(aKey);
  return it == nullptr || !it->is_array() ? kEmpty : it->get_array();
}

json::object ErrorToJson(const Error& aError)
{
  json::array fields;
  for (const auto& it : aError.fields) {
    fields.push_back(json::object{ { "pointer", it.pointer },
                                   { "seen", it.seen },
                                   { "allowed", it.allowed } });
  }
  return { { "code", static_cast<int>(aError.code) },
           { "code_name", Describe(aError.code).name },
           { "message", aError.message },
           { "errors", std::move(fields) } };
}

void PrintError(std::ostream& aOut, const json::value& aError)
{
  aOut << "error " << ErrorLine(aError) << '\n';
  for (const auto& it : Elements(aError, "errors")) {
    const auto pointer = Field(it, "pointer");
    aOut << fmt::format("  {}: found {}; allowed: {}\n",
                        pointer.empty() ? "(whole document)" : pointer,
                        Field(it, "seen"),
                        Field(it, "allowed"));
  }
}

void PrintStatus(std::ostream& aOut, const std::vector<InstanceState>& aStates)
{
  std::vector<std::vector<std::string>> rows = { { "ADDRESS",
                                                   "INSTANCE",
                                                   "DOMAIN",
                                                   "STATUS",
                                                   "FENCED",
                                                   "CONFIG",
                                                   "HASH",
                                                   "ROSTER",
                                                   "IN FLIGHT",
                                                   "SLICES",
                                                   "MEMBERS" } };
  std::map<std::string, std::size_t> versions;
  for (const auto& it : aStates) {
    if (it.failed) {
      rows.push_back({ it.address, "(no answer)" });
      continue;
    }
    const auto version = Field(it.value, "config_version");
    const auto hash = Field(it.value, "config_hash").substr(0, 8);
    ++versions[fmt::format("{} ({})", version, hash)];
    rows.push_back({ it.address,
                     Field(it.value, "instance"),
                     Field(it.value, "failure_domain"),
                     Field(it.value, "status"),
                     IsTrue(it.value, "fenced") ? "yes" : "no",
                     version,
                     hash,
                     Field(it.value, "roster_revision"),
                     Field(it.value, "in_flight"),
                     std::to_string(Elements(it.value, "slices").size()),
                     std::to_string(Elements(it.value, "members").size()) });
  }
  PrintTable(aOut, rows);
  for (const auto& it : aStates) {
    if (it.failed) {
      PrintError(aOut, it.value);
    }
  }
  for (const auto& [version, count] : versions) {
    aOut << fmt::format("configuration {} in force at {} instance{}\n",
                        version,
                        count,
                        count == 1 ? "" : "s");
  }
}

void PrintExplanation(std::ostream& aOut, const json::value& aValue)
{
  aOut << fmt::format("{} {}; configuration {}, index version {}\n\n",
                      Field(aValue, "code"),
                      Field(aValue, "code_name"),
                      Field(aValue, "config_version"),
                      Field(aValue, "index_version"));
  std::vector<std::vector<std::string>> rows = {
    { "SELECTOR", "MATCHES", "SHARDS", "TARGETS", "WHY NOT" }
  };
  for (const auto& it : Elements(aValue, "selectors")) {
    rows.push_back({ Field(it, "name"),
                     IsTrue(it, "matches") ? "yes" : "no",
                     Field(it, "shards"),
                     Field(it, "targets"),
                     Field(it, "why") });
  }
  PrintTable(aOut, rows);
  aOut << '\n';
  rows = { { "SHARD",
             "GROUP",
             "SERVICE",
             "SERVER",
             "DOMAIN",
             "SLICE",
             "SELECTOR",
             "WHY NOT" } };
  for (const auto& shard : Elements(aValue, "shards")) {
    const auto& servers = Elements(shard, "servers");
    for (const auto& it : servers) {
      rows.push_back({ Field(shard, "shard"),
                       Field(shard, "group"),
                       Field(shard, "service"),
                       Field(it, "server"),
                       Field(it, "failure_domain"),
                       Field(it, "slice"),
                       Field(it, "selector"),
                       Field(it, "why") });
    }
    if (servers.empty()) {
      rows.push_back({ Field(shard, "shard"),
                       Field(shard, "group"),
                       Field(shard, "service"),
                       "(the service has no servers)" });
    }
  }
  PrintTable(aOut, rows);
}

void PrintWithdrawal(std::ostream& aOut, const json::value& aValue)
{
  if (IsTrue(aValue, "complete")) {
    aOut << fmt::format("version {}: complete, claimed at {}\n",
                        Field(aValue, "version"),
                        Field(aValue, "claimed_at"));
    return;
  }
  aOut << fmt::format("version {}: not complete\n", Field(aValue, "version"));
  std::vector<std::vector<std::string>> rows = {
    { "WAITING FOR", "SINCE", "REASON" }
  };
  for (const auto& it : Elements(aValue, "waiting")) {
    rows.push_back({ Field(it, "instance"),
                     Field(it, "since_ms") + " ms",
                     Field(it, "reason") });
  }
  PrintTable(aOut, rows);
  rows = { { "INSTANCE", "VERSION", "SELECTOR", "DOMAIN", "KIND", "COUNT" } };
  for (const auto& it : Elements(aValue, "counts")) {
    rows.push_back({ Field(it, "instance"),
                     Field(it, "version"),
                     Field(it, "selector"),
                     Field(it, "failure_domain"),
                     Field(it, "kind"),
                     Field(it, "count") });
  }
  if (rows.size() > 1) {
    aOut << '\n';
    PrintTable(aOut, rows);
  }
}

std::string WithdrawalProgress(const json::value& aValue)
{
  std::int64_t unfinished = 0;
  for (const auto& it : Elements(aValue, "counts")) {
    unfinished += Integer(it, "count");
  }
  std::vector<std::string> waiting;
  for (const auto& it : Elements(aValue, "waiting")) {
    waiting.push_back(Field(it, "instance"));
  }
  constexpr std::size_t kMaxNames = 5;
  const auto more = waiting.size() > kMaxNames ? waiting.size() - kMaxNames : 0;
  waiting.resize(waiting.size() - more);
  return fmt::format(
    "version {}: {}{}; {} unfinished",
    Field(aValue, "version"),
    waiting.empty() ? std::string("waiting for no instance")
                    : fmt::format("waiting for {}", fmt::join(waiting, ", ")),
    more == 0 ? "" : fmt::format(" and {} more", more),
    unfinished);
}

void PrintEvents(std::ostream& aOut, const json::array& aEvents)
{
  std::vector<std::vector<std::string>> rows = {
    { "CONFIG", "TIME", "INSTANCE", "SEQUENCE", "KIND", "DETAIL" }
  };
  for (const auto& it : aEvents) {
    rows.push_back({ Field(it, "config_version"),
                     Field(it, "time"),
                     Field(it, "instance"),
                     Field(it, "sequence"),
                     Field(it, "kind"),
                     Field(it, "detail") });
  }
  PrintTable(aOut, rows);
}

json::array MergeEvents(const std::vector<json::value>& aTrails)
{
  std::vector<std::pair<EventKey, const json::value*>> events;
  for (const auto& trail : aTrails) {
    EventKey last;
    for (const auto& it : Elements(trail, "events")) {
      // An instance's events never sort before its earlier ones.
      last = std::max(last, KeyOf(it));
      events.emplace_back(last, &it);
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  json::array result;
  result.reserve(events.size());
  for (const auto& it : events) {
    result.push_back(*it.second);
  }
  return result;
}

} // namespace bronzedeal::ctl
