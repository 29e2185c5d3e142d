#pragma once

#include "modules/gateway/gateway.h"
#include "tests/gateway/loopback.h"

#include <map>
#include <set>

namespace cowslipline::testing {

/// Decisions in memory. Targets are chosen in their order; fields are set
/// before requests are sent.
class fake_decisions final
  : public key_decision
  , public rate_decision
  , public claim_decision
  , public target_decision
  , public readiness_decision
{
public:
  key_verdict Verify(const snapshot& aSnapshot,
                     std::string_view aAuthorization) override;
  result<void> Admit(std::string_view aOrganisation, duration aWait) override;
  result<claim_verdict> Claim(const claim_request& aRequest,
                              duration aWait) override;
  void Finish(const claim_ticket& aTicket,
              const finished_answer& aAnswer) override;
  void Release(const claim_ticket& aTicket) override;
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
  readiness Current() override;

  std::vector<attempt_class> Reports() const;

  readiness mReadiness = instance_ready{};
  bool mAdmits = true;
  bool mIsStoreAway = false;
  quarantine_verdict mQuarantine = quarantine_verdict::Clear;
  std::atomic<int> mRetriesLeft{ 10 };
  std::atomic<int> mFirstAttempts{ 0 };
  std::atomic<int> mSlotsTaken{ 0 };
  std::atomic<int> mReleased{ 0 };
  std::atomic<int> mFinished{ 0 };
  std::atomic<int> mResets{ 0 };
  std::atomic<bool> mIsRevoked{ false };

private:
  mutable std::mutex mMutex;
  std::vector<attempt_class> mReports;
  /// Absent body of the value: claimed and not finished.
  std::map<std::string, std::optional<finished_answer>> mRecords;
};

class fixed_snapshots final : public snapshot_source
{
public:
  snapshot_pointer Current() const override;
  void Set(snapshot aSnapshot);

private:
  mutable std::mutex mMutex;
  snapshot_pointer mCurrent = std::make_shared<snapshot>();
};

/// A gateway on a port of its own with routes for tests:
/// GET and POST /echo (idempotent, 64 MiB), POST /order (not idempotent), GET
/// /open (open), GET and POST /checked (answer with digest), GET /hold (goes on
/// without its caller), GET /other (for another organisation), and POST /small
/// (10 bytes each way).
class gateway_fixture
{
public:
  static constexpr std::string_view kKey = "good-key-0123456789";

  explicit gateway_fixture(
    const std::vector<std::uint16_t>& aUpstreamPorts,
    gateway_options aOptions = {},
    std::chrono::milliseconds aDeadline = std::chrono::seconds(5));
  ~gateway_fixture();

  test_socket Connect() const { return test_socket::Connect(mGateway->Port()); }
  /// Sends one request on a new connection.
  http_message Call(std::string_view aMethod,
                    std::string_view aTarget,
                    std::string_view aBody = {},
                    std::string_view aHeaders = {}) const;
  static std::string Request(std::string_view aMethod,
                             std::string_view aTarget,
                             std::string_view aBody = {},
                             std::string_view aHeaders = {});
  std::uint64_t Refusals(refusal_reason aReason);
  snapshot MakeSnapshot() const;

  metrics mMetrics;
  fake_decisions mDecisions;
  fixed_snapshots mSnapshots;
  std::unique_ptr<gateway> mGateway;

private:
  std::vector<std::uint16_t> mPorts;
  std::chrono::milliseconds mDeadline;
};

} // namespace cowslipline::testing
