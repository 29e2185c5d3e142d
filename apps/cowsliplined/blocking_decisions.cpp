#include "apps/cowsliplined/blocking_decisions.h"

#include "core/check.h"
#include "modules/configuration/configuration.h"

#include <algorithm>
#include <cstring>

namespace cowslipline {

namespace {

// Added to the wait of a decision: the hop to the control thread and back.
constexpr duration kHopTime = std::chrono::milliseconds(20);

// Decisions that need no peer and no store answer at once.
constexpr duration kLocalDecision = std::chrono::milliseconds(500);

template<typename... Functions>
struct overloaded : Functions...
{
  using Functions::operator()...;
};
template<typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

std::uint64_t
FirstBytes(const digest16& aDigest)
{
  std::uint64_t value = 0;
  std::memcpy(&value, aDigest.data(), sizeof(value));
  return value;
}

attempt_outcome
ToOutcome(attempt_class aClass)
{
  switch (aClass) {
    case attempt_class::Success:
    case attempt_class::Canceled:
      return attempt_outcome::Success;
    case attempt_class::ErrorStatus:
      return attempt_outcome::Error;
    case attempt_class::Timeout:
      return attempt_outcome::Timeout;
    case attempt_class::ConnectFailure:
      return attempt_outcome::ConnectFailure;
    case attempt_class::Incomplete:
      return attempt_outcome::Incomplete;
    case attempt_class::WrongAnswer:
      return attempt_outcome::Wrong;
    case attempt_class::Shed:
      return attempt_outcome::Shed;
  }
  return attempt_outcome::Error;
}

claim_verdict
ToVerdict(const claim_answer& aAnswer)
{
  return std::visit(
    overloaded{
      [](const granted& aGranted) -> claim_verdict {
        return claim_granted{ { aGranted.mAttempt } };
      },
      [](const finished& aFinished) -> claim_verdict {
        const auto& outcome = aFinished.mOutcome;
        return claim_finished{
          { outcome.mStatus, outcome.mContentType, outcome.mBody }
        };
      },
      [](const in_progress&) -> claim_verdict { return claim_in_progress{}; },
      [](const outcome_unknown&) -> claim_verdict { return claim_unknown{}; },
      [](const key_reused&) -> claim_verdict { return claim_reused{}; },
    },
    aAnswer);
}

const std::string&
ServiceName(const target_request& aRequest)
{
  return aRequest.mSnapshot->mServices[aRequest.mService].mName;
}

} // namespace

key_verdict
fleet_key_decision::Verify(const snapshot& aSnapshot,
                           std::string_view aAuthorization)
{
  return std::visit(
    overloaded{
      [](const key_verified& aKey) -> key_verdict {
        return key_accepted{ aKey.mOrganisation, aKey.mKeyId };
      },
      [](const key_missing&) -> key_verdict { return key_absent{}; },
      [](const key_malformed&) -> key_verdict { return key_unreadable{}; },
      [](const key_unknown&) -> key_verdict { return key_not_known{}; },
      [](const key_withdrawn&) -> key_verdict { return key_revoked{}; },
    },
    VerifyKey(aSnapshot, mFleetSecret, aAuthorization));
}

result<void>
fleet_rate_decision::Admit(std::string_view aOrganisation, duration aWait)
{
  return BlockingCall(
    *mScheduler,
    aWait + kHopTime,
    [limiter = mLimiter, name = std::string(aOrganisation), aWait](
      yield_context aYield) { return limiter->Admit(name, aWait, aYield); });
}

result<claim_verdict>
fleet_claim_decision::Claim(const claim_request& aRequest, duration aWait)
{
  claim asked;
  asked.mOrganisation = aRequest.mOrganisation;
  asked.mRoute = aRequest.mRouteId;
  asked.mIdempotencyKey = aRequest.mIdempotencyKey;
  asked.mFingerprint = FirstBytes(aRequest.mFingerprint);
  asked.mDeadline = aRequest.mRouteDeadline;
  const auto answer = BlockingCall(
    *mScheduler,
    aWait + kHopTime,
    [records = mRecords, asked, aWait](yield_context aYield) {
      return records->Claim(asked, aWait, aYield);
    },
    [records = mRecords](const result<claim_answer>& aLate) {
      // Nobody will send this request any more.
      const auto* grant = aLate ? std::get_if<granted>(&*aLate) : nullptr;
      if (grant != nullptr) {
        records->Release(grant->mAttempt);
      }
    });
  COWSLIPLINE_PROPAGATE(answer);
  return ToVerdict(*answer);
}

void
fleet_claim_decision::Finish(const claim_ticket& aTicket,
                             const finished_answer& aAnswer)
{
  asio::post(mScheduler->Context(),
             [records = mRecords,
              made = std::any_cast<attempt>(aTicket.mAttempt),
              outcome = recorded_outcome{
                aAnswer.mStatus, aAnswer.mContentType, aAnswer.mBody }] {
               records->Finish(made, outcome);
             });
}

void
fleet_claim_decision::Release(const claim_ticket& aTicket)
{
  asio::post(
    mScheduler->Context(),
    [records = mRecords, made = std::any_cast<attempt>(aTicket.mAttempt)] {
      records->Release(made);
    });
}

quarantine_verdict
fleet_target_decision::CheckQuarantine(const target_request& aRequest,
                                       duration aWait)
{
  const auto answer =
    BlockingCall(*mScheduler,
                 std::max(aWait, kHopTime),
                 [quarantine = mServices.mQuarantine,
                  print = aRequest.mFingerprint](yield_context) {
                   return result<bool>(quarantine->IsQuarantined(print));
                 });
  // A fingerprint is quarantined only after the request reached two targets.
  return answer && *answer ? quarantine_verdict::QuarantinedAfterRun
                           : quarantine_verdict::Clear;
}

result<service_index>
fleet_target_decision::CurrentIndex(const target_request& aRequest) const
{
  const auto& name = ServiceName(aRequest);
  const auto current = mSnapshots->Current();
  const auto& services = current->mServices;
  if (aRequest.mService < services.size() &&
      services[aRequest.mService].mName == name) {
    return aRequest.mService;
  }
  const auto found =
    std::find_if(services.begin(), services.end(), [&](const auto& aService) {
      return aService.mName == name;
    });
  if (found == services.end()) {
    return Fail(errc::NoTarget);
  }
  return static_cast<service_index>(found - services.begin());
}

result<fleet_target_decision::held_slot>
fleet_target_decision::EnterAndChoose(const target_request& aRequest,
                                      steady_time aDeadline,
                                      yield_context aYield)
{
  const auto service = CurrentIndex(aRequest);
  COWSLIPLINE_PROPAGATE(service);
  const auto& organisations = aRequest.mSnapshot->mOrganisationByName;
  const auto organisation = organisations.find(aRequest.mOrganisation);
  const auto turn = organisation == organisations.end() ? kNoOrganisation
                                                        : organisation->second;
  const auto entered =
    mServices.mQueue->Enter(*service, turn, aDeadline, aYield);
  COWSLIPLINE_PROPAGATE(entered);
  excluded_targets excluded;
  const auto& targets =
    aRequest.mSnapshot->mServices[aRequest.mService].mTargets;
  for (const auto index : aRequest.mExcluded) {
    target_choice tried;
    tried.mServiceName = ServiceName(aRequest);
    tried.mTargetName = targets[index].mId;
    excluded.push_back(std::move(tried));
  }
  auto choice = mServices.mSelector->Choose(*service, excluded);
  if (!choice) {
    mServices.mQueue->Leave(*service);
    return Fail(choice.error());
  }
  return held_slot{ *service, std::move(*choice) };
}

void
fleet_target_decision::GiveBack(const held_slot& aSlot)
{
  mServices.mSelector->Abandon(aSlot.mChoice);
  mServices.mQueue->Leave(aSlot.mQueueService);
}

result<chosen_target>
fleet_target_decision::Choose(const target_request& aRequest, duration aWait)
{
  const auto deadline = mScheduler->Now() + aWait;
  const auto slot = BlockingCall(
    *mScheduler,
    aWait + kHopTime,
    [this, aRequest, deadline](yield_context aYield) {
      return EnterAndChoose(aRequest, deadline, aYield);
    },
    [this](const result<held_slot>& aLate) {
      if (aLate) {
        GiveBack(*aLate);
      }
    });
  COWSLIPLINE_PROPAGATE(slot);
  // The request keeps its own snapshot, in which the index may differ.
  const auto& targets =
    aRequest.mSnapshot->mServices[aRequest.mService].mTargets;
  const auto found =
    std::find_if(targets.begin(), targets.end(), [&](const auto& aTarget) {
      return aTarget.mId == slot->mChoice.mTargetName;
    });
  chosen_target chosen{ static_cast<target_index>(found - targets.begin()),
                        *slot };
  if (found == targets.end()) {
    Abandon(aRequest, chosen);
    return Fail(errc::NoTarget);
  }
  return chosen;
}

void
fleet_target_decision::Report(const target_request& aRequest,
                              const chosen_target& aTarget,
                              const attempt_result& aResult)
{
  if (aResult.mClass == attempt_class::Canceled) {
    Abandon(aRequest, aTarget);
    return;
  }
  asio::post(mScheduler->Context(),
             [services = mServices,
              slot = std::any_cast<held_slot>(aTarget.mSlot),
              print = aRequest.mFingerprint,
              aResult] {
               attempt_report report;
               report.mChoice = slot.mChoice;
               report.mOutcome = ToOutcome(aResult.mClass);
               report.mLatency = aResult.mLatency;
               report.mIsDraining = aResult.mIsDraining;
               services.mSelector->Report(report);
               services.mQueue->Leave(slot.mQueueService);
               if (aResult.mIsReset) {
                 services.mQuarantine->RecordCrash(
                   print, slot.mChoice.mServiceName, slot.mChoice.mTargetName);
               }
             });
}

void
fleet_target_decision::Abandon(const target_request& /*aRequest*/,
                               const chosen_target& aTarget)
{
  asio::post(
    mScheduler->Context(),
    [this, slot = std::any_cast<held_slot>(aTarget.mSlot)] { GiveBack(slot); });
}

void
fleet_target_decision::CountFirstAttempt(const target_request& aRequest)
{
  const auto service = CurrentIndex(aRequest);
  if (service) {
    asio::post(mScheduler->Context(),
               [budget = mServices.mBudget, index = *service] {
                 budget->RecordFirstAttempt(index);
               });
  }
}

bool
fleet_target_decision::TakeRetry(const target_request& aRequest)
{
  const auto service = CurrentIndex(aRequest);
  const auto taken =
    service ? BlockingCall(
                *mScheduler,
                kLocalDecision,
                [budget = mServices.mBudget, index = *service](yield_context) {
                  return result<bool>(budget->TakeRetry(index));
                })
            : result<bool>(Fail(service.error()));
  return taken && *taken;
}

} // namespace cowslipline
