#include "modules/health/ejection_holder.h"

#include "modules/health/ejection_owner.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

/// Longest ejection that is accepted from a peer.
constexpr std::chrono::milliseconds kLongestAccepted =
  std::chrono::seconds(300);

} // namespace

ejection_holder::ejection_holder(std::shared_ptr<scheduler> aScheduler,
                                 std::shared_ptr<peer_channel> aChannel,
                                 std::shared_ptr<membership> aMembership,
                                 std::shared_ptr<target_table> aTable,
                                 std::shared_ptr<ejection_log> aLog,
                                 std::shared_ptr<metrics> aMetrics)
  : mScheduler(std::move(aScheduler))
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mTable(std::move(aTable))
  , mLog(std::move(aLog))
  , mMetrics(std::move(aMetrics))
{
}

void
ejection_holder::Start()
{
  mChannel->Handle(
    std::string(kEjectionService),
    [this](const instance_name& aFrom,
           std::string_view aPayload,
           yield_context) -> result<std::string> {
      const auto ejections = DecodeEjections(aPayload);
      if (!ejections) {
        mMetrics->Counter("cowslipline_health_malformed_total").Add();
        return Fail(ejections.error());
      }
      Apply(aFrom, *ejections);
      return std::string();
    });
  mChannel->Handle(
    std::string(kSuspectService),
    [this](const instance_name&,
           std::string_view aPayload,
           yield_context) -> result<std::string> {
      const auto value = nlohmann::json::from_cbor(aPayload, true, false);
      if (!value.is_array() || value.size() != 2 ||
          !value[0].is_number_unsigned() || !value[1].is_number_unsigned()) {
        return Fail(errc::MessageMalformed);
      }
      Suspect(value[0].get<std::uint32_t>(), value[1].get<std::uint32_t>());
      return std::string();
    });
}

void
ejection_holder::Suspect(std::uint32_t aService, std::uint32_t aTarget)
{
  auto* const service = mTable->FindByHash(aService);
  auto* const state =
    service == nullptr ? nullptr : service->FindTargetByHash(aTarget);
  if (state != nullptr) {
    state->mSuspectUntil = mScheduler->Now() + kSuspectTime;
  }
}

void
ejection_holder::Apply(const instance_name& aFrom,
                       const std::vector<ejection>& aEjections)
{
  for (const auto& one : aEjections) {
    ApplyOne(aFrom, one);
  }
}

void
ejection_holder::ApplyOne(const instance_name& aFrom, const ejection& aEjection)
{
  auto* const service = mTable->FindByHash(aEjection.mService);
  auto* const state =
    service == nullptr ? nullptr : service->FindTargetByHash(aEjection.mTarget);
  if (state == nullptr) {
    return;
  }
  if (aEjection.mTimeLeft.count() <= 0) {
    Release(*service, *state, aFrom, aEjection.mSequence);
  } else {
    Hold(*service, *state, aFrom, aEjection);
  }
}

void
ejection_holder::Hold(service_state& aService,
                      target_state& aTarget,
                      const instance_name& aFrom,
                      const ejection& aEjection)
{
  const auto isKnown = [&](const held_ejection& aHeld) {
    return aHeld.mDecidedBy == aFrom &&
           aHeld.mEjection.mSequence == aEjection.mSequence;
  };
  if (std::any_of(
        aTarget.mEjections.begin(), aTarget.mEjections.end(), isKnown)) {
    return;
  }
  const auto& self = mMembership->Self();
  held_ejection held;
  held.mDecidedBy = aFrom;
  held.mEjection = aEjection;
  held.mExpires =
    mScheduler->Now() + std::min(aEjection.mTimeLeft, kLongestAccepted);
  held.mAppliesHere =
    aEjection.mScope.Includes(self.mName, self.mAvailabilityZone);
  if (held.mAppliesHere) {
    aTarget.mInUseSince = std::max(aTarget.mInUseSince, held.mExpires);
  }
  Record(ejection_action::Ejected, aService, aTarget, held);
  mHolding.insert(aService.mHash);
  aTarget.mEjections.push_back(std::move(held));
}

void
ejection_holder::Release(service_state& aService,
                         target_state& aTarget,
                         const instance_name& aFrom,
                         std::uint64_t aSequence)
{
  for (auto& held : aTarget.mEjections) {
    if (held.mDecidedBy == aFrom && held.mEjection.mSequence == aSequence) {
      held.mExpires = mScheduler->Now();
    }
  }
  // The target was not at fault, so it returns without a slow start.
  aTarget.mInUseSince = steady_time{};
  ExpireTarget(aService, aTarget);
}

void
ejection_holder::Expire()
{
  for (auto one = mHolding.begin(); one != mHolding.end();) {
    auto* const service = mTable->FindByHash(*one);
    bool isHolding = false;
    if (service != nullptr) {
      for (const auto& state : service->mTargets) {
        ExpireTarget(*service, *state);
        isHolding = isHolding || !state->mEjections.empty();
      }
    }
    one = isHolding ? std::next(one) : mHolding.erase(one);
  }
}

void
ejection_holder::ExpireTarget(service_state& aService, target_state& aTarget)
{
  const auto now = mScheduler->Now();
  auto& ejections = aTarget.mEjections;
  const auto isActive = [&](const held_ejection& aHeld) {
    return now < aHeld.mExpires;
  };
  const auto ended =
    std::stable_partition(ejections.begin(), ejections.end(), isActive);
  for (auto one = ended; one != ejections.end(); ++one) {
    Record(ejection_action::Returned, aService, aTarget, *one);
  }
  ejections.erase(ended, ejections.end());
}

std::uint32_t
ejection_holder::HeldDigest(const service_state& aService,
                            const instance_name& aOwner) const
{
  std::vector<ejection> held;
  for (const auto& state : aService.mTargets) {
    for (const auto& one : state->mEjections) {
      if (one.mDecidedBy == aOwner && mScheduler->Now() < one.mExpires) {
        held.push_back(one.mEjection);
      }
    }
  }
  return DigestOf(held);
}

void
ejection_holder::Record(ejection_action aAction,
                        const service_state& aService,
                        const target_state& aTarget,
                        const held_ejection& aHeld)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(duration(0), aHeld.mExpires - mScheduler->Now()));
  ejection_record record;
  record.mTime = mScheduler->WallNow();
  record.mService = aService.mName;
  record.mTarget = aTarget.mName;
  record.mAction = aAction;
  record.mReason = std::string(NameOf(aHeld.mEjection.mReason)) + ", " +
                   aHeld.mEjection.mScope.Text();
  record.mEvidence = aHeld.mEjection.mEvidence;
  record.mDecidedBy = aHeld.mDecidedBy;
  record.mReturns = record.mTime + left.count();
  mLog->Add(std::move(record));
  mMetrics
    ->Counter("cowslipline_health_target_changes_total{action=\"" +
              std::string(NameOf(aAction)) + "\"}")
    .Add();
}

} // namespace cowslipline
