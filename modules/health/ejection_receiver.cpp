#include "modules/health/ejection_receiver.h"

#include "modules/health/ejection_owner.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

/// Longer ejections from a peer are shortened to this.
constexpr std::chrono::milliseconds kMaxAcceptedTime =
  std::chrono::seconds(300);

} // namespace

ejection_receiver::ejection_receiver(std::shared_ptr<scheduler> aScheduler,
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
ejection_receiver::Start()
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
    std::string(kSuspectNoticeService),
    [this](const instance_name&,
           std::string_view aPayload,
           yield_context) -> result<std::string> {
      const auto value = nlohmann::json::from_cbor(aPayload, true, false);
      if (!value.is_array() || value.size() != 2 ||
          !value[0].is_number_unsigned() || !value[1].is_number_unsigned()) {
        return Fail(errc::MessageMalformed);
      }
      MarkSuspect(value[0].get<std::uint32_t>(), value[1].get<std::uint32_t>());
      return std::string();
    });
}

void
ejection_receiver::MarkSuspect(std::uint32_t aService, std::uint32_t aTarget)
{
  auto* const service = mTable->FindByHash(aService);
  auto* const state =
    service == nullptr ? nullptr : service->FindTargetByHash(aTarget);
  if (state != nullptr) {
    state->mSuspectUntil = mScheduler->Now() + kSuspectTime;
  }
}

void
ejection_receiver::Apply(const instance_name& aFrom,
                         const std::vector<ejection>& aEjections)
{
  for (const auto& one : aEjections) {
    ApplyOne(aFrom, one);
  }
}

void
ejection_receiver::ApplyOne(const instance_name& aFrom,
                            const ejection& aEjection)
{
  auto* const service = mTable->FindByHash(aEjection.mService);
  auto* const state =
    service == nullptr ? nullptr : service->FindTargetByHash(aEjection.mTarget);
  if (state == nullptr) {
    return;
  }
  if (aEjection.mTimeLeft.count() <= 0) {
    Withdraw(*service, *state, aFrom, aEjection.mSequence);
  } else {
    AddEjection(*service, *state, aFrom, aEjection);
  }
}

void
ejection_receiver::AddEjection(service_state& aService,
                               target_state& aTarget,
                               const instance_name& aFrom,
                               const ejection& aEjection)
{
  const auto isKnown = [&](const received_ejection& aReceived) {
    return aReceived.mDecidedBy == aFrom &&
           aReceived.mEjection.mSequence == aEjection.mSequence;
  };
  if (std::any_of(
        aTarget.mEjections.begin(), aTarget.mEjections.end(), isKnown)) {
    return;
  }
  const auto& self = mMembership->Self();
  received_ejection received;
  received.mDecidedBy = aFrom;
  received.mEjection = aEjection;
  received.mExpires =
    mScheduler->Now() + std::min(aEjection.mTimeLeft, kMaxAcceptedTime);
  received.mAppliesHere =
    aEjection.mScope.Includes(self.mName, self.mAvailabilityZone);
  if (received.mAppliesHere) {
    aTarget.mInUseSince = std::max(aTarget.mInUseSince, received.mExpires);
  }
  LogChange(ejection_action::Ejected, aService, aTarget, received);
  mServicesWithEjections.insert(aService.mHash);
  aTarget.mEjections.push_back(std::move(received));
}

void
ejection_receiver::Withdraw(service_state& aService,
                            target_state& aTarget,
                            const instance_name& aFrom,
                            std::uint64_t aSequence)
{
  for (auto& received : aTarget.mEjections) {
    if (received.mDecidedBy == aFrom &&
        received.mEjection.mSequence == aSequence) {
      received.mExpires = mScheduler->Now();
    }
  }
  // An ejection is withdrawn when the target was not at fault, so the target
  // needs no slow start.
  aTarget.mInUseSince = steady_time{};
  RemoveExpiredAt(aService, aTarget);
}

void
ejection_receiver::RemoveExpired()
{
  for (auto one = mServicesWithEjections.begin();
       one != mServicesWithEjections.end();) {
    auto* const service = mTable->FindByHash(*one);
    bool hasEjections = false;
    if (service != nullptr) {
      for (const auto& state : service->mTargets) {
        RemoveExpiredAt(*service, *state);
        hasEjections = hasEjections || !state->mEjections.empty();
      }
    }
    one = hasEjections ? std::next(one) : mServicesWithEjections.erase(one);
  }
}

void
ejection_receiver::RemoveExpiredAt(service_state& aService,
                                   target_state& aTarget)
{
  const auto now = mScheduler->Now();
  auto& ejections = aTarget.mEjections;
  const auto isActive = [&](const received_ejection& aReceived) {
    return now < aReceived.mExpires;
  };
  const auto ended =
    std::stable_partition(ejections.begin(), ejections.end(), isActive);
  for (auto one = ended; one != ejections.end(); ++one) {
    LogChange(ejection_action::Returned, aService, aTarget, *one);
  }
  ejections.erase(ended, ejections.end());
}

std::uint32_t
ejection_receiver::DigestOfEjectionsBy(const service_state& aService,
                                       const instance_name& aOwner) const
{
  std::vector<ejection> received;
  for (const auto& state : aService.mTargets) {
    for (const auto& one : state->mEjections) {
      if (one.mDecidedBy == aOwner && mScheduler->Now() < one.mExpires) {
        received.push_back(one.mEjection);
      }
    }
  }
  return DigestOf(received);
}

void
ejection_receiver::LogChange(ejection_action aAction,
                             const service_state& aService,
                             const target_state& aTarget,
                             const received_ejection& aReceived)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(duration(0), aReceived.mExpires - mScheduler->Now()));
  ejection_record record;
  record.mTime = mScheduler->WallNow();
  record.mService = aService.mName;
  record.mTarget = aTarget.mName;
  record.mAction = aAction;
  record.mReason = std::string(NameOf(aReceived.mEjection.mReason)) + ", " +
                   aReceived.mEjection.mScope.Text();
  record.mEvidence = aReceived.mEjection.mEvidence;
  record.mDecidedBy = aReceived.mDecidedBy;
  record.mReturns = record.mTime + left.count();
  mLog->Add(std::move(record));
  mMetrics
    ->Counter("cowslipline_health_target_changes_total{action=\"" +
              std::string(NameOf(aAction)) + "\"}")
    .Add();
}

} // namespace cowslipline
