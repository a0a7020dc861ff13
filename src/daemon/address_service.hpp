#pragma once

#include "bronzedeal/daemon/fleet_view.hpp"
#include "bronzedeal/daemon/http_server.hpp"
#include "bronzedeal/request/address_chooser.hpp"
#include "bronzedeal/version/snapshot.hpp"

#include <mutex>

namespace bronzedeal::daemon {

/// Answers `GET /v1/addresses`. Thread safe.
class AddressService
{
public:
  AddressService(milliseconds aTtl,
                 const version::SnapshotHolder& aSnapshots,
                 const FleetViewHolder& aFleet);

  [[nodiscard]] HttpResponse Handle(const std::string& aCustomer,
                                    const std::string& aKind);

private:
  const version::SnapshotHolder& mSnapshots;
  const FleetViewHolder& mFleet;
  std::mutex mMutex;
  request::AddressChooser mAnswer;
};

/// A refusal that names other instances a caller may use: those alive, neither
/// fenced nor leaving.
[[nodiscard]] HttpResponse RefusalWithAddresses(const std::string& aRequestId,
                                                ResultCode aCode,
                                                const FleetView& aFleet);

} // namespace bronzedeal::daemon
