#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace cowslipline {

/// The availability zones whose targets get no more requests because the
/// operators have asked for that, and the requests in progress in each zone, by
/// which the operators see when a zone is empty. Answers the load of a zone
/// that moves to the others while it is maintained.
class zone_evacuations
{
public:
  /// False if the zone was evacuated already.
  bool Begin(std::string aZone);
  /// False if the zone was not evacuated.
  bool End(std::string_view aZone);

  bool IsEvacuated(std::string_view aZone) const;
  const std::set<std::string, std::less<>>& Zones() const { return mZones; }

  /// A request goes to a target of the zone.
  void OnSent(const std::string& aZone) { ++mInProgress[aZone]; }
  /// A request at a target of the zone has ended. True if it was the last one
  /// in an evacuated zone.
  bool OnFinished(std::string_view aZone);

  /// Requests of this instance at targets of the zone.
  std::size_t InProgress(std::string_view aZone) const;
  /// The same for all evacuated zones together.
  std::size_t InProgressInEvacuated() const;

private:
  std::set<std::string, std::less<>> mZones;
  std::map<std::string, std::size_t, std::less<>> mInProgress;
};

} // namespace cowslipline
