#include "modules/fleet/instance_list_reader.h"

namespace cowslipline {

namespace {

constexpr std::size_t kReaders = 3;
constexpr duration kLonePause = std::chrono::seconds(1);
constexpr duration kReaderPause = std::chrono::seconds(5);
constexpr duration kOtherPause = std::chrono::seconds(60);

// The list lags; an instance that starts knows enough with a few peers.
constexpr std::size_t kEnoughMembers = 3;

} // namespace

instance_list_reader::instance_list_reader(
  scheduler& aScheduler,
  std::shared_ptr<instance_list> aList,
  std::shared_ptr<membership_service> aMembership)
  : mScheduler(aScheduler)
  , mList(std::move(aList))
  , mMembership(std::move(aMembership))
{
}

void
instance_list_reader::Start()
{
  mScheduler.Spawn(
    [self = shared_from_this()](yield_context aYield) { self->Run(aYield); });
}

void
instance_list_reader::Run(yield_context aYield)
{
  while (!mIsStopped) {
    const auto list = mList->Read(aYield);
    if (list) {
      mMembership->ApplyList(*list);
    }
    mScheduler.SleepFor(Pause(), aYield);
  }
}

duration
instance_list_reader::Pause() const
{
  const auto members = mMembership->LiveMembers();
  if (members.size() < kEnoughMembers) {
    return kLonePause;
  }
  return HasRole(members, mMembership->Self().mName, "list-read", kReaders)
           ? kReaderPause
           : kOtherPause;
}

} // namespace cowslipline
