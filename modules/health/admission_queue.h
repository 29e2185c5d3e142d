#pragma once

#include "core/metrics.h"
#include "core/scheduler.h"
#include "modules/health/target_selector.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace cowslipline {

/// Requests that wait for capacity at their service. At most 64 wait at an
/// instance; organisations take turns (deficit round robin in which every
/// request costs one unit). Control thread only.
class admission_queue
{
public:
  admission_queue(std::shared_ptr<scheduler> aScheduler,
                  std::shared_ptr<snapshot_source> aSource,
                  std::shared_ptr<target_selector> aSelector,
                  std::shared_ptr<metrics> aMetrics);

  /// Waits until the request may start; Leave() must follow a success.
  /// Errors: errc::Overloaded when the request cannot start before aDeadline,
  /// or when the queue is full; it did not run.
  result<void> Enter(service_index aService,
                     organisation_index aOrganisation,
                     steady_time aDeadline,
                     yield_context aYield);

  /// A request that entered has ended. aService is that of Enter().
  void Leave(service_index aService);

  std::size_t Waiting() const { return mWaiting; }

private:
  enum class waiter_state : std::uint8_t
  {
    Waiting,
    Admitted,
    Refused,
  };

  struct waiter
  {
    organisation_index mOrganisation = 0;
    waiter_state mState = waiter_state::Waiting;
    event mChanged;
  };

  struct organisation_queue
  {
    organisation_index mOrganisation = 0;
    std::deque<std::shared_ptr<waiter>> mWaiters;
  };

  struct lane
  {
    std::uint32_t mActive = 0;
    std::size_t mWaiting = 0;
    /// Organisations with waiting requests in the order of their turns.
    std::list<organisation_queue> mTurns;
    /// Mean time that a request stays, by area under mActive.
    steady_time mUpdated{};
    double mActiveSeconds = 0;
    double mCompleted = 0;
  };

  lane& LaneOf(service_index aService);
  void Advance(lane& aLane);
  void Admit(lane& aLane);
  void Dispatch(service_index aService, lane& aLane);
  std::shared_ptr<waiter> PopNext(lane& aLane);
  std::shared_ptr<waiter> Queue(lane& aLane, organisation_index aOrganisation);
  void Remove(lane& aLane, const std::shared_ptr<waiter>& aWaiter);
  bool MakeRoom(organisation_index aOrganisation);
  bool CanStartInTime(service_index aService,
                      const lane& aLane,
                      organisation_index aOrganisation,
                      steady_time aDeadline) const;
  result<void> Refuse();
  result<void> Wait(service_index aService,
                    const std::shared_ptr<waiter>& aWaiter,
                    steady_time aDeadline,
                    yield_context aYield);

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<snapshot_source> mSource;
  std::shared_ptr<target_selector> mSelector;
  std::shared_ptr<metrics> mMetrics;
  /// By the service's name: a new snapshot may renumber services.
  std::map<std::string, lane, std::less<>> mLanes;
  std::size_t mWaiting = 0;
};

} // namespace cowslipline
