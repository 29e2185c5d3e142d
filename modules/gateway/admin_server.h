#pragma once

#include "core/metrics.h"
#include "core/result.h"
#include "modules/gateway/decisions.h"

#include <functional>
#include <string>
#include <thread>

#include <httplib.h>

namespace cowslipline {

struct admin_server_options
{
  std::string mAddress = "127.0.0.1";
  std::uint16_t mPort = 0; ///< 0: the system chooses.
};

/// Callbacks run on threads of the server and return JSON.
struct admin_callbacks
{
  std::function<std::string()> mStatus;
  /// Why a target is in use or not. Errors: errc::NotFound.
  std::function<result<std::string>(std::string_view aService,
                                    std::string_view aTarget)>
    mExplainTarget;
};

/// Health, readiness, metrics and explanations for operators, on an address of
/// its own.
class admin_server
{
public:
  admin_server(admin_server_options aOptions,
               readiness_decision& aReadiness,
               metrics& aMetrics,
               admin_callbacks aCallbacks);
  ~admin_server();
  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;

  /// Binds and serves. Errors: errc::InputOutput.
  result<void> Start();
  std::uint16_t Port() const { return mPort; }
  void Stop();

private:
  void AddHandlers();
  void AnswerReadiness(httplib::Response& aResponse);
  void AnswerExplanation(const httplib::Request& aRequest,
                         httplib::Response& aResponse);

  admin_server_options mOptions;
  readiness_decision& mReadiness;
  metrics& mMetrics;
  admin_callbacks mCallbacks;
  httplib::Server mServer;
  std::thread mListener;
  std::uint16_t mPort = 0;
};

} // namespace cowslipline
