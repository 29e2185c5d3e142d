#pragma once

#include "review/standins/caller.h"
#include "review/standins/edge_process.h"
#include "review/standins/target_server.h"

#include <unordered_map>

namespace review {

/// A tenant's limit over the whole fleet, and what the platform tolerates.
struct tenant_limit
{
  double mRate = 0;
  double mBurst = 0;

  /// Requests that may be sent and run in one window.
  double MostInWindow() const
  {
    return (mRate * kWindowSeconds + mBurst) * (1 + kOvershoot) + kSlack;
  }

  static constexpr double kWindowSeconds = 5;
  static constexpr double kOvershoot = 0.1;
  static constexpr double kSlack = 20;
};

/// One route that may be repeated, one service, one tenant with one key.
std::string
ConfigurationOf(const tenant_limit& aLimit);

constexpr char kTenantKey[] = "ctnfzs989anu6wsjnban";

/// When each request of the tenant was sent and began to run.
class quota_judge
{
public:
  void OnSent(const std::string& aRequestId);
  void OnRun(const std::string& aRequestId);

  /// The most requests that were both sent and run in any one window.
  int MostInWindow() const;
  int Sent() const;
  int Run() const;

private:
  struct request_times
  {
    time_point mSentAt;
    std::optional<time_point> mRunAt;
  };

  mutable std::mutex mMutex;
  std::unordered_map<std::string, request_times> mRequests;
};

/// A tenant that sends many times its usual, evenly over some instances.
class tenant_traffic
{
public:
  tenant_traffic(const std::vector<const edge_process*>& aEdges,
                 double aRequestsPerSecond,
                 quota_judge& aJudge,
                 record& aRecord);
  /// Waits for the last answers.
  ~tenant_traffic();
  tenant_traffic(const tenant_traffic&) = delete;
  tenant_traffic& operator=(const tenant_traffic&) = delete;

private:
  void Run(const edge_process& aEdge,
           std::chrono::microseconds aPause,
           quota_judge& aJudge,
           record& aRecord) const;

  std::atomic<bool> mIsStopped{ false };
  std::vector<std::thread> mThreads;
};

/// Logs the result and returns the exit code of the case.
int
ReportQuota(const quota_judge& aJudge,
            const tenant_limit& aLimit,
            record& aRecord);

} // namespace review
