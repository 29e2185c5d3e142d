#include "modules/routing/zone_evacuations.h"

namespace cowslipline {

bool
zone_evacuations::Begin(std::string aZone)
{
  return mZones.insert(std::move(aZone)).second;
}

bool
zone_evacuations::End(std::string_view aZone)
{
  const auto found = mZones.find(aZone);
  if (found == mZones.end()) {
    return false;
  }
  mZones.erase(found);
  return true;
}

bool
zone_evacuations::IsEvacuated(std::string_view aZone) const
{
  return mZones.find(aZone) != mZones.end();
}

bool
zone_evacuations::OnFinished(std::string_view aZone)
{
  const auto found = mInProgress.find(aZone);
  if (found == mInProgress.end()) {
    return false;
  }
  if (--found->second > 0) {
    return false;
  }
  mInProgress.erase(found);
  return IsEvacuated(aZone);
}

std::size_t
zone_evacuations::InProgress(std::string_view aZone) const
{
  const auto found = mInProgress.find(aZone);
  return found == mInProgress.end() ? 0 : found->second;
}

std::size_t
zone_evacuations::InProgressInEvacuated() const
{
  std::size_t sum = 0;
  for (const auto& zone : mZones) {
    sum += InProgress(zone);
  }
  return sum;
}

} // namespace cowslipline
