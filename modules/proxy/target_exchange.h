#pragma once

#include "core/http_message.h"
#include "modules/placement/placement.h"
#include "modules/proxy/upstream_pool.h"
#include "modules/routing/routing.h"

namespace cowslipline {

/// What a target is sent.
struct outgoing_request
{
  std::string mMethod;
  std::string mTarget; ///< Path and query.
  header_list mHeaders;
  std::string mBody;
  bool mHasLength = false; ///< Content-Length is sent, also for no body.
  std::string mRequestId;
};

struct exchange_result
{
  exchange_outcome mOutcome = exchange_outcome::Abandoned;
  /// False only when it is certain that the target did not and will not run
  /// the request.
  bool mMayHaveRun = true;
  bool mIsNewConnection = false;
  /// Of the outcomes Served and Failed, and of shed answers.
  std::optional<http_response> mResponse;
  /// What went wrong, for the log; empty when nothing did.
  std::string mReason;
  /// What the target's own answer says of its rate limit.
  limit_signal mLimit;
  /// The target's own answer says that it drains.
  bool mIsTargetDraining = false;
  /// A new connection is refused after the old one broke: the target went down.
  bool mIsTargetDown = false;
};

/// One send of a request to one target.
class target_exchange : public std::enable_shared_from_this<target_exchange>
{
public:
  target_exchange(asio::io_context& aContext,
                  upstream_pool& aPool,
                  buffer_budget& aBuffers,
                  const fleet_header_names& aNames,
                  std::shared_ptr<const outgoing_request> aRequest,
                  const target_entry& aTarget);

  /// Sends the request and reads the answer, at most until the deadline.
  exchange_result Run(steady_time aDeadline, yield_context aYield);

  /// Breaks the exchange off; Run() returns Abandoned.
  void Cancel();

  const std::string& TargetId() const { return mTargetId; }
  /// True once bytes of the request were handed to the connection.
  bool IsSent() const { return mIsSent; }

private:
  bool Open(steady_time aDeadline, yield_context aYield);
  /// False when no byte was sent.
  bool Send(steady_time aDeadline);
  exchange_result ReadAnswer(steady_time aDeadline, yield_context aYield);
  /// True if an answer without an id can only be the one to this request.
  bool IsAttributable(const http_response& aResponse) const;
  exchange_result Judge(http_response aResponse);
  exchange_result Fail(exchange_outcome aOutcome,
                       bool aMayHaveRun,
                       std::string aReason) const;
  void KeepConnection(const http_response& aResponse);
  bool IsTargetDown(yield_context aYield);

  asio::io_context& mContext;
  upstream_pool& mPool;
  buffer_budget& mBuffers;
  const fleet_header_names& mNames;
  std::shared_ptr<const outgoing_request> mRequest;
  std::string mTargetId;
  tcp_endpoint mAddress;
  std::unique_ptr<tcp_stream> mStream;
  std::string mHead;
  bool mIsCancelled = false;
  bool mIsSent = false;
  bool mIsNewConnection = false;
  /// Answers to other requests that came in front.
  int mForeignAnswers = 0;
  limit_signal mLimit;
  bool mIsTargetDraining = false;
};

} // namespace cowslipline
