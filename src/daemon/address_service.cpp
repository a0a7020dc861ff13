#include "address_service.hpp"

#include "bronzedeal/request/caller_request.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <random>

namespace bronzedeal::daemon {

using process::Member;
using process::MemberStatus;

namespace {

request::InstanceStatus ToInstanceStatus(const Member& aMember)
{
  if (aMember.incarnation == 0) {
    return request::InstanceStatus::Dead;
  }
  switch (aMember.status) {
    case MemberStatus::Alive:
      return request::InstanceStatus::Alive;
    case MemberStatus::Suspect:
      return request::InstanceStatus::Suspect;
    case MemberStatus::Leaving:
      return request::InstanceStatus::Leaving;
    case MemberStatus::Dead:
      break;
  }
  return request::InstanceStatus::Dead;
}

/// Share of the replicas of a plan that each instance owns.
std::map<InstanceId, double> OwnedShares(const version::RoutePlan& aPlan,
                                         const FleetView& aFleet)
{
  std::map<InstanceId, double> shares;
  std::size_t total = 0;
  for (const auto& shard : aPlan.shards) {
    for (const auto& replica : shard.replicas) {
      ++total;
      if (const auto* owner = aFleet.OwnerOf(replica.slice)) {
        shares[*owner] += 1;
      }
    }
  }
  for (auto& [id, share] : shares) {
    share /= static_cast<double>(total);
  }
  return shares;
}

} // namespace

AddressService::AddressService(milliseconds aTtl,
                               const version::SnapshotHolder& aSnapshots,
                               const FleetViewHolder& aFleet)
  : mSnapshots(aSnapshots)
  , mFleet(aFleet)
  , mAnswer(std::mt19937_64(std::random_device{}()), [&] {
    request::AddressChooser::Options options;
    options.ttl = aTtl;
    return options;
  }())
{
}

HttpResponse AddressService::Handle(const std::string& aCustomer,
                                    const std::string& aKind)
{
  const auto fleet = mFleet.Load();
  const auto snapshot = mSnapshots.Load();
  std::map<InstanceId, double> shares;
  if (snapshot) {
    shares = OwnedShares(*snapshot->SharedPlan({ { "customer", aCustomer } },
                                               { { "kind", aKind } }),
                         *fleet);
  }
  std::vector<request::AddressCandidate> candidates;
  for (const auto& it : fleet->members) {
    const bool self = it.id == fleet->self;
    candidates.push_back({ it.id,
                           it.httpAddress,
                           it.failureDomain,
                           self && fleet->leaving
                             ? request::InstanceStatus::Leaving
                             : ToInstanceStatus(it),
                           self ? fleet->fenced : it.fenced,
                           shares[it.id] });
  }
  const std::lock_guard lock(mMutex);
  return { 200,
           request::WriteAddresses(mAnswer.Choose(aCustomer, candidates)) };
}

HttpResponse RefusalWithAddresses(const std::string& aRequestId,
                                  ResultCode aCode,
                                  const FleetView& aFleet)
{
  const auto& info = Describe(aCode);
  boost::json::array addresses;
  for (const auto& it : aFleet.members) {
    if (it.id != aFleet.self && !it.fenced &&
        ToInstanceStatus(it) == request::InstanceStatus::Alive) {
      addresses.emplace_back(it.httpAddress);
    }
  }
  const boost::json::value body{ { "request_id", aRequestId },
                                 { "code", static_cast<int>(aCode) },
                                 { "code_name", info.name },
                                 { "message", info.meaning },
                                 { "addresses", std::move(addresses) } };
  return { info.httpStatus, boost::json::serialize(body) };
}

} // namespace bronzedeal::daemon
