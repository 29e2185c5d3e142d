#pragma once

#include "core/time.h"
#include "modules/gateway/decisions.h"
#include "modules/gateway/upstream_stream.h"

#include <string>
#include <string_view>

#include <httplib.h>

namespace cowslipline {

struct upstream_request
{
  std::string mMethod;
  std::string mTarget; ///< Path and query; sent byte for byte.
  header_list mHeaders;
  std::string_view mBody;
  std::string mRequestId;
  bool mIsIdempotent = true;
  steady_time mDeadline;
  /// The caller's socket; the exchange ends when the caller leaves. -1: never.
  int mCallerDescriptor = -1;
  std::size_t mAnswerLimit = 0; ///< Bytes.
};

struct upstream_result
{
  attempt_class mClass = attempt_class::Success;
  duration mLatency{};
  /// Any byte of the request was given to the system for sending.
  bool mHasSent = false;
  bool mIsReset = false;
  /// The answer did not fit into the instance's budget for bodies.
  bool mIsOverBudget = false;
  upstream_answer mAnswer;

  /// The request may have run.
  bool MayHaveRun() const;
};

/// One connection to a target. Carries one exchange at a time and is not
/// reusable after anything but a whole answer.
class upstream_connection final : private httplib::ClientImpl
{
public:
  upstream_connection(const std::string& aHost, std::uint16_t aPort);

  /// aConnectTimeout bounds opening; the request's deadline bounds everything.
  upstream_result Exchange(const upstream_request& aRequest,
                           body_budget& aBudget,
                           duration aConnectTimeout);

  bool IsReusable() const { return mIsReusable; }
  /// False when an idle connection has ended or carries unasked bytes.
  bool IsQuiet() const;
  /// True when the connection was found unusable before anything was sent.
  bool IsStale() const { return mIsStale; }
  steady_time OpenedAt() const { return mOpenedAt; }

private:
  bool process_socket(const Socket& aSocket,
                      std::function<bool(httplib::Stream&)> aCallback) override;
  bool create_and_connect_socket(Socket& aSocket,
                                 httplib::Error& aError) override;

  void Run(const upstream_request& aRequest, upstream_result& aResult);

  const upstream_request* mRequest = nullptr;
  upstream_result* mResult = nullptr;
  std::optional<read_error> mReadError;
  steady_time mOpenedAt;
  bool mIsOpen = false;
  bool mIsStale = false;
  bool mIsReusable = false;
};

} // namespace cowslipline
