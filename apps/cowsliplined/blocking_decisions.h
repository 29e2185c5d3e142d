#pragma once

#include "modules/gateway/decisions.h"
#include "modules/health/health.h"
#include "modules/limits/limits.h"
#include "modules/outcomes/outcomes.h"

#include <memory>
#include <string>

namespace cowslipline {

// The decisions of the control thread as the gateway's threads call them.

class fleet_key_decision final : public key_decision
{
public:
  explicit fleet_key_decision(std::string aFleetSecret)
    : mFleetSecret(std::move(aFleetSecret))
  {
  }
  key_verdict Verify(const snapshot& aSnapshot,
                     std::string_view aAuthorization) override;

private:
  std::string mFleetSecret;
};

class fleet_rate_decision final : public rate_decision
{
public:
  fleet_rate_decision(std::shared_ptr<scheduler> aScheduler,
                      std::shared_ptr<rate_limiter> aLimiter)
    : mScheduler(std::move(aScheduler))
    , mLimiter(std::move(aLimiter))
  {
  }
  result<void> Admit(std::string_view aOrganisation, duration aWait) override;

private:
  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<rate_limiter> mLimiter;
};

class fleet_claim_decision final : public claim_decision
{
public:
  fleet_claim_decision(std::shared_ptr<scheduler> aScheduler,
                       std::shared_ptr<outcome_records> aRecords)
    : mScheduler(std::move(aScheduler))
    , mRecords(std::move(aRecords))
  {
  }
  result<claim_verdict> Claim(const claim_request& aRequest,
                              duration aWait) override;
  void Finish(const claim_ticket& aTicket,
              const finished_answer& aAnswer) override;
  void Release(const claim_ticket& aTicket) override;

private:
  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<outcome_records> mRecords;
};

struct health_services
{
  std::shared_ptr<target_selector> mSelector;
  std::shared_ptr<retry_budget> mBudget;
  std::shared_ptr<request_quarantine> mQuarantine;
  std::shared_ptr<admission_queue> mQueue;
};

class fleet_target_decision final : public target_decision
{
public:
  fleet_target_decision(std::shared_ptr<scheduler> aScheduler,
                        std::shared_ptr<snapshot_source> aSnapshots,
                        health_services aServices)
    : mScheduler(std::move(aScheduler))
    , mSnapshots(std::move(aSnapshots))
    , mServices(std::move(aServices))
  {
  }
  quarantine_verdict CheckQuarantine(const target_request& aRequest,
                                     duration aWait) override;
  result<chosen_target> Choose(const target_request& aRequest,
                               duration aWait) override;
  void Report(const target_request& aRequest,
              const chosen_target& aTarget,
              const attempt_result& aResult) override;
  void Abandon(const target_request& aRequest,
               const chosen_target& aTarget) override;
  void CountFirstAttempt(const target_request& aRequest) override;
  bool TakeRetry(const target_request& aRequest) override;

private:
  /// A slot of the admission queue and a target in it.
  struct held_slot
  {
    service_index mQueueService = 0;
    target_choice mChoice;
  };

  result<held_slot> EnterAndChoose(const target_request& aRequest,
                                   steady_time aDeadline,
                                   yield_context aYield);
  void GiveBack(const held_slot& aSlot);
  result<service_index> CurrentIndex(const target_request& aRequest) const;

  std::shared_ptr<scheduler> mScheduler;
  std::shared_ptr<snapshot_source> mSnapshots;
  health_services mServices;
};

} // namespace cowslipline
