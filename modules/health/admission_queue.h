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

/// Fair admission queue: limits the requests in flight per service to the
/// capacity of its targets and queues the rest. At most 64 requests wait at an
/// instance. Organisations are served by deficit round robin with a cost of one
/// per request, so that one organisation cannot delay the others. Must be used
/// on the control thread only.
class admission_queue
{
public:
  admission_queue(std::shared_ptr<scheduler> aScheduler,
                  std::shared_ptr<snapshot_source> aSource,
                  std::shared_ptr<target_selector> aSelector,
                  std::shared_ptr<metrics> aMetrics);

  /// Waits until the request may start. After a success the caller must call
  /// Leave() when the request has ended.
  /// Errors: errc::Overloaded when the request cannot start before aDeadline or
  /// the queue is full; the request has not been sent to a target.
  result<void> Enter(service_index aService,
                     organisation_index aOrganisation,
                     steady_time aDeadline,
                     yield_context aYield);

  /// Ends a request that Enter() admitted. aService must be the same index as
  /// in the call of Enter().
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

  struct service_queue
  {
    std::uint32_t mActive = 0;
    std::size_t mWaiting = 0;
    /// Organisations with waiting requests, in round-robin order.
    std::list<organisation_queue> mOrganisations;
    /// The mean duration of a request is mActiveSeconds / mCompleted, where
    /// mActiveSeconds is the integral of mActive over time.
    steady_time mUpdated{};
    double mActiveSeconds = 0;
    double mCompleted = 0;
  };

  service_queue& QueueOf(service_index aService);
  void UpdateActiveTime(service_queue& aQueue);
  void Admit(service_queue& aQueue);
  void Dispatch(service_index aService, service_queue& aQueue);
  std::shared_ptr<waiter> PopNext(service_queue& aQueue);
  std::shared_ptr<waiter> Enqueue(service_queue& aQueue,
                                  organisation_index aOrganisation);
  void Remove(service_queue& aQueue, const std::shared_ptr<waiter>& aWaiter);
  /// Returns whether one more request of aOrganisation may wait; a full queue
  /// drops the newest request of the organisation with the longest queue.
  bool MakeRoom(organisation_index aOrganisation);
  /// Estimates from the mean duration and the round-robin order whether a new
  /// request could start before aDeadline.
  bool CanStartInTime(service_index aService,
                      const service_queue& aQueue,
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
  /// By service name, since a new snapshot may renumber the services.
  std::map<std::string, service_queue, std::less<>> mQueues;
  std::size_t mWaiting = 0;
};

} // namespace cowslipline
