#pragma once

#include "modules/fleet/membership_service.h"
#include "platform/instance_list.h"

#include <memory>

namespace cowslipline {

/// Reads the platform's list of instances into the membership. A few instances
/// read it often; the others only until they know peers, and then seldom.
class instance_list_reader final
  : public std::enable_shared_from_this<instance_list_reader>
{
public:
  instance_list_reader(scheduler& aScheduler,
                       std::shared_ptr<instance_list> aList,
                       std::shared_ptr<membership_service> aMembership);

  void Start();
  void Stop() { mIsStopped = true; }

private:
  void Run(yield_context aYield);
  duration Pause() const;

  scheduler& mScheduler;
  std::shared_ptr<instance_list> mList;
  std::shared_ptr<membership_service> mMembership;
  bool mIsStopped = false;
};

} // namespace cowslipline
