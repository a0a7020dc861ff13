#include "bronzedeal/gateway/metadata_history.hpp"

#include <utility>

namespace bronzedeal::gateway {

MetadataHistory::Verdict MetadataHistory::OnReply(
  std::optional<MetadataEra> aEra,
  bool aIsRelayed,
  TimePoint aNow)
{
  if (!aEra || aEra == mEra) {
    return Verdict::Current;
  }
  if (aIsRelayed && mEra && *aEra < *mEra) {
    return Verdict::Former;
  }
  const bool isFirst = !std::exchange(mEra, aEra);
  if (isFirst) {
    return Verdict::Current;
  }
  mSettledAt = aNow + kReregistrationGrace;
  for (const auto& it : mHandlers) {
    it();
  }
  return Verdict::New;
}

void MetadataHistory::OnNewHistory(std::function<void()> aHandler)
{
  mHandlers.push_back(std::move(aHandler));
}

} // namespace bronzedeal::gateway
