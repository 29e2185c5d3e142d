#pragma once

#include "core/http_message.h"
#include "modules/proxy/proxy_services.h"
#include "modules/proxy/refusal_cause.h"
#include "modules/proxy/target_exchange.h"

namespace cowslipline {

struct proxy_answer
{
  int mStatus = 0;
  header_list mHeaders; ///< Without framing and connection headers.
  std::string mBody;
  body_lease mLease{ 0 }; ///< Accounts for the bytes of the body.
  refusal_cause mCause = refusal_cause::None;
};

/// Serves one request of a caller: route, key, quota, target, repeats. One
/// object for one request, used by the caller's task.
class request_handler
{
public:
  request_handler(proxy_services& aServices,
                  http_request aRequest,
                  steady_time aReceivedAt);
  ~request_handler();

  /// The final answer; nothing when the caller has left.
  std::optional<proxy_answer> Handle(yield_context aYield);

  /// The caller has closed its connection: a request that may be repeated is
  /// broken off.
  void OnCallerGone();

  /// The instance ends: the request is given up, with an answer.
  void OnInstanceEnding();

private:
  struct attempt
  {
    std::shared_ptr<target_exchange> mExchange;
    std::string mTarget;
    steady_time mStartedAt;
    std::optional<exchange_result> mResult;
    bool mIsJudged = false;
    bool mIsOverdue = false;
    borrowed_slot mSlot; ///< Returned when the exchange ends.
  };

  /// Outlives the handler in exchanges that finish in the background.
  struct progress
  {
    std::vector<std::shared_ptr<attempt>> mAttempts;
    event mChanged;
  };

  std::optional<proxy_answer> Authorise(yield_context aYield);
  std::optional<proxy_answer> CheckQuota(yield_context aYield);
  std::optional<proxy_answer> Exchange(yield_context aYield);
  std::optional<proxy_answer> Judge(attempt& aAttempt);

  /// Sends the request to one more target. The cause when it cannot. aUse: what
  /// the send is for if it is not the first.
  refusal_cause StartAttempt(yield_context aYield, retry_use aUse);
  void FinishAttempt(const std::shared_ptr<attempt>& aAttempt);
  /// Before the body has been moved to mTargetRequest.
  request_fingerprint FingerprintOf(const std::string& aOrganisation) const;
  /// 0 is the most urgent.
  int Priority() const;
  bool MayRepeat() const;
  /// True at the end of a shutdown. A request that must run once is not passed
  /// on then if its target may still be at work when the instance ends: nobody
  /// would know whether it ran.
  bool IsTooLateToSend() const;
  bool HasOpenAttempt() const;
  void MarkOverdue();
  /// When a second send is due while the first is open: as a hedge, or as a
  /// rescue if the retry budget had no room for a hedge.
  steady_time SecondSendAt(retry_use aUse) const;
  /// aSecondSend: the use of the second send that may still be made.
  steady_time NextWake(std::optional<retry_use> aSecondSend) const;

  proxy_answer Refuse(int aStatus,
                      refusal_cause aCause,
                      duration aRetryAfter = duration(0)) const;
  /// The answer when no further target can be tried.
  proxy_answer GiveUp(refusal_cause aCause);
  proxy_answer FromTarget(http_response aResponse) const;
  void LogRequest(const std::optional<proxy_answer>& aAnswer) const;

  proxy_services& mServices;
  http_request mRequest;
  steady_time mReceivedAt;
  steady_time mDeadline;
  std::shared_ptr<const route_index> mRoutes;
  const route_spec* mRoute = nullptr;
  const organisation_spec* mOrganisation = nullptr;
  std::string mRequestId;
  std::string mService;
  std::shared_ptr<outgoing_request> mTargetRequest;
  std::shared_ptr<progress> mProgress = std::make_shared<progress>();
  request_fingerprint mFingerprint = 0;
  std::vector<std::string> mTried;
  std::uint32_t mArrivals = 0; ///< Sends that reached a target.
  bool mMayHaveRun = false;
  bool mIsCallerGone = false;
  /// When a target that limits its rate is expected to take the request.
  duration mTimeToPermit{ 0 };
  /// A target's own failure, handed on when no repeat succeeds.
  std::optional<http_response> mTargetFailure;
  const char* mQuotaSource = "none";
  std::string mQuotaDecidedBy;
  std::uint64_t mQuotaVersion = 0; ///< quota_admission::mVersion.
};

} // namespace cowslipline
