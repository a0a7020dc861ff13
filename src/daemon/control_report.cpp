#include "control_report.hpp"

#include "bronzedeal/version/document.hpp"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace bronzedeal::daemon {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> kStatusNames{ "alive",
                                                        "suspect",
                                                        "leaving",
                                                        "dead" };

json::array SlicesToJson(const std::vector<SliceId>& aSlices)
{
  json::array array;
  for (const auto& it : aSlices) {
    array.emplace_back(ToString(it));
  }
  return array;
}

json::value MemberToJson(const process::Member& aMember,
                         const std::string& aAdminAddress)
{
  return { { "id", aMember.id },
           { "status",
             aMember.incarnation == 0 ? std::string_view("unknown")
                                      : NameOf(aMember.status) },
           { "incarnation", aMember.incarnation },
           { "http", aMember.httpAddress },
           { "admin", aAdminAddress },
           { "failure_domain", aMember.failureDomain },
           { "config_version", aMember.configVersion },
           { "roster_revision", aMember.rosterRevision },
           { "fenced", aMember.fenced },
           { "settled_version", aMember.settledVersion },
           { "slices", SlicesToJson(aMember.slices) } };
}

} // namespace

std::string_view NameOf(process::MemberStatus aStatus) noexcept
{
  return kStatusNames.at(static_cast<std::size_t>(aStatus));
}

std::string WriteState(const FleetView& aFleet,
                       const process::Member& aSelf,
                       const std::vector<SliceId>& aOwned,
                       const std::vector<process::Member>& aMembers,
                       const std::map<InstanceId, std::string>& aAdminAddresses,
                       std::uint64_t aInFlight)
{
  json::array members;
  for (const auto& it : aMembers) {
    const auto adminAddress = aAdminAddresses.find(it.id);
    members.push_back(MemberToJson(it,
                                   adminAddress == aAdminAddresses.end()
                                     ? std::string{}
                                     : adminAddress->second));
  }
  const json::value body{
    { "instance", aSelf.id },
    { "incarnation", aSelf.incarnation },
    { "failure_domain", aSelf.failureDomain },
    { "status", aFleet.leaving ? "leaving" : "alive" },
    { "ready", aFleet.ready },
    { "fenced", aFleet.fenced },
    { "config_version", aSelf.configVersion },
    { "config_hash", version::ToString(aSelf.configHash) },
    { "roster_revision", aSelf.rosterRevision },
    { "in_flight", aInFlight },
    { "slices", SlicesToJson(aOwned) },
    { "members", std::move(members) },
  };
  return json::serialize(body);
}

std::string WriteWithdrawal(const process::WithdrawalStatus& aStatus,
                            const InstanceId& aSelf,
                            const std::vector<version::WorkCount>& aCounts,
                            TimePoint aNow,
                            std::uint64_t aUnixMs)
{
  json::array waiting;
  for (const auto& it : aStatus.waiting) {
    const auto since =
      std::chrono::duration_cast<milliseconds>(aNow - it.since).count();
    waiting.push_back(
      { { "instance", it.instance },
        { "reason", process::NameOf(it.reason) },
        { "slice",
          it.slice.failureDomain.empty() ? std::string{} : ToString(it.slice) },
        { "detail", it.detail },
        { "since_ms", since } });
  }
  json::array counts;
  for (const auto& it : aCounts) {
    counts.push_back({ { "instance", aSelf },
                       { "version", it.version },
                       { "selector", it.selector },
                       { "failure_domain", it.failureDomain },
                       { "kind", version::ToString(it.kind) },
                       { "count", it.count } });
  }
  const json::value body{
    { "version", aStatus.version },    { "complete", aStatus.complete },
    { "claimed_by", aSelf },           { "claimed_at", aUnixMs },
    { "waiting", std::move(waiting) }, { "counts", std::move(counts) }
  };
  return json::serialize(body);
}

std::string WriteAudit(const std::vector<process::AuditEvent>& aEvents)
{
  json::array events;
  for (const auto& it : aEvents) {
    events.push_back({ { "sequence", it.sequence },
                       { "time", it.unixMs },
                       { "instance", it.instance },
                       { "config_version", it.configVersion },
                       { "kind", process::NameOf(it.kind) },
                       { "detail", it.detail } });
  }
  return json::serialize(json::value{ { "events", std::move(events) } });
}

} // namespace bronzedeal::daemon
