#include "review/standins/tenant_traffic.h"

#include <algorithm>

namespace review {

namespace {

using namespace std::chrono_literals;

// A caller waits for its answer before it sends again.
constexpr int kCallersOfInstance = 16;

} // namespace

std::string
ConfigurationOf(const tenant_limit& aLimit)
{
  using nlohmann::json;
  return json{
    { "version", 1 },
    { "routes",
      json::array({ { { "name", "orders" },
                      { "hostname", "orders.example" },
                      { "path-prefix", "/orders/" },
                      { "route-type", "idempotent" },
                      { "timeout-s", 3 },
                      { "slo-latency-s", 2 },
                      { "priority", 1 },
                      { "service", "catalogue" },
                      { "attempts", 2 },
                      { "public", false } } }) },
    { "services",
      json::array({ { { "name", "catalogue" },
                      { "health-path", "/healthz" },
                      { "max-conns", 360 } } }) },
    { "tenants",
      json::array({ { { "name", "sese880" },
                      { "api-keys", json::array({ kTenantKey }) },
                      { "priority", 1 },
                      { "rate-per-s", aLimit.mRate },
                      { "burst", aLimit.mBurst } } }) },
    { "limits",
      { { "max-header-bytes", 16384 },
        { "max-body-bytes", 1048576 },
        { "header-timeout-s", 3 },
        { "idle-timeout-s", 15 } } }
  }.dump();
}

void
quota_judge::OnSent(const std::string& aRequestId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRequests[aRequestId].mSentAt = clock_type::now();
}

void
quota_judge::OnRun(const std::string& aRequestId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& times = mRequests[aRequestId];
  if (!times.mRunAt) {
    times.mRunAt = clock_type::now();
  }
}

int
quota_judge::MostInWindow() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto window = std::chrono::duration_cast<clock_type::duration>(
    std::chrono::duration<double>(tenant_limit::kWindowSeconds));
  std::vector<std::pair<time_point, time_point>> ran;
  for (const auto& [id, times] : mRequests) {
    if (times.mRunAt) {
      ran.emplace_back(times.mSentAt, *times.mRunAt);
    }
  }
  std::sort(ran.begin(), ran.end());
  int most = 0;
  for (std::size_t first = 0; first < ran.size(); ++first) {
    const auto end = ran[first].first + window;
    int count = 0;
    for (std::size_t i = first; i < ran.size() && ran[i].first <= end; ++i) {
      count += ran[i].second <= end ? 1 : 0;
    }
    most = std::max(most, count);
  }
  return most;
}

int
quota_judge::Sent() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return static_cast<int>(mRequests.size());
}

int
quota_judge::Run() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return static_cast<int>(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aEntry) {
      return aEntry.second.mRunAt.has_value();
    }));
}

tenant_traffic::tenant_traffic(const std::vector<const edge_process*>& aEdges,
                               double aRequestsPerSecond,
                               quota_judge& aJudge,
                               record& aRecord)
{
  const auto callers = aEdges.size() * kCallersOfInstance;
  const std::chrono::microseconds pause(static_cast<std::int64_t>(
    1e6 * static_cast<double>(callers) / aRequestsPerSecond));
  for (std::size_t i = 0; i < callers; ++i) {
    mThreads.emplace_back(
      [this,
       &edge = *aEdges[i % aEdges.size()],
       pause,
       offset = pause * static_cast<int>(i) / static_cast<int>(callers),
       &aJudge,
       &aRecord] {
        std::this_thread::sleep_for(offset);
        Run(edge, pause, aJudge, aRecord);
      });
  }
}

tenant_traffic::~tenant_traffic()
{
  mIsStopped = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
}

void
tenant_traffic::Run(const edge_process& aEdge,
                    std::chrono::microseconds aPause,
                    quota_judge& aJudge,
                    record& aRecord) const
{
  std::optional<http_socket> socket;
  auto next = clock_type::now();
  while (!mIsStopped) {
    std::this_thread::sleep_until(next);
    next = std::max(next + aPause, clock_type::now());
    if (!socket || socket->HasEnded()) {
      socket = http_socket::Connect(aEdge.Ip(), aEdge.CallersPort());
    }
    if (!socket) {
      continue;
    }
    caller_request request;
    request.mTarget = "/orders/spec?work=5";
    request.mKey = kTenantKey;
    const auto id = NewRequestId();
    aJudge.OnSent(id);
    const auto answer = SendRequest(*socket, request, id, aRecord);
    if (answer.mStatus == 0 || answer.mWantsClose) {
      socket.reset();
    }
  }
}

int
ReportQuota(const quota_judge& aJudge,
            const tenant_limit& aLimit,
            record& aRecord)
{
  const int most = aJudge.MostInWindow();
  const bool isBroken = most > aLimit.MostInWindow();
  aRecord.Add(std::string(isBroken ? "QUOTA broken: " : "quota held: ") +
              std::to_string(most) +
              " requests were sent and run in one window of 5 s, allowed " +
              std::to_string(static_cast<int>(aLimit.MostInWindow())) +
              "; in all " + std::to_string(aJudge.Sent()) + " sent, " +
              std::to_string(aJudge.Run()) + " run");
  if (aJudge.Run() == 0) {
    return kExitNotRun;
  }
  return isBroken ? kExitBroken : kExitHeld;
}

} // namespace review
