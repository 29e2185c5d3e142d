#include "modules/gateway/admin_server.h"

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

constexpr std::size_t kThreads = 4;
constexpr const char* kJson = "application/json";

struct readiness_text
{
  std::string operator()(const instance_ready&) const { return "ready"; }
  std::string operator()(const instance_not_ready& aState) const
  {
    return "not_ready: " + aState.mReason;
  }
  std::string operator()(const instance_isolated&) const { return "isolated"; }
  std::string operator()(const instance_draining&) const { return "draining"; }
};

} // namespace

admin_server::admin_server(admin_server_options aOptions,
                           readiness_decision& aReadiness,
                           metrics& aMetrics,
                           admin_callbacks aCallbacks)
  : mOptions(std::move(aOptions))
  , mReadiness(aReadiness)
  , mMetrics(aMetrics)
  , mCallbacks(std::move(aCallbacks))
{
  mServer.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  // Kept-alive connections of a few probes would hold all threads.
  mServer.set_keep_alive_max_count(1);
  AddHandlers();
}

admin_server::~admin_server()
{
  Stop();
}

void
admin_server::AddHandlers()
{
  mServer.Get("/healthz",
              [](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.set_content("ok\n", "text/plain");
              });
  mServer.Get("/readyz",
              [this](const httplib::Request&, httplib::Response& aResponse) {
                AnswerReadiness(aResponse);
              });
  mServer.Get(
    "/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(mMetrics.RenderText(), "text/plain; version=0.0.4");
    });
  mServer.Get("/status",
              [this](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.set_content(
                  mCallbacks.mStatus ? mCallbacks.mStatus() : "{}", kJson);
              });
  mServer.Get(
    "/explain/target",
    [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      AnswerExplanation(aRequest, aResponse);
    });
}

void
admin_server::AnswerReadiness(httplib::Response& aResponse)
{
  const auto state = mReadiness.Current();
  const bool isReady = std::holds_alternative<instance_ready>(state);
  aResponse.status = isReady ? 200 : 503;
  aResponse.set_content(std::visit(readiness_text{}, state) + "\n",
                        "text/plain");
}

void
admin_server::AnswerExplanation(const httplib::Request& aRequest,
                                httplib::Response& aResponse)
{
  const auto explained =
    mCallbacks.mExplainTarget
      ? mCallbacks.mExplainTarget(aRequest.get_param_value("service"),
                                  aRequest.get_param_value("target"))
      : result<std::string>(Fail(errc::NotFound));
  if (explained) {
    aResponse.set_content(*explained, kJson);
    return;
  }
  aResponse.status = 404;
  const nlohmann::json body = { { "error", explained.error().message() } };
  aResponse.set_content(body.dump(), kJson);
}

result<void>
admin_server::Start()
{
  int port = mOptions.mPort;
  if (port == 0) {
    port = mServer.bind_to_any_port(mOptions.mAddress);
  } else if (!mServer.bind_to_port(mOptions.mAddress, port)) {
    port = -1;
  }
  if (port <= 0) {
    return Fail(errc::InputOutput);
  }
  mPort = static_cast<std::uint16_t>(port);
  mListener = std::thread([this] { mServer.listen_after_bind(); });
  while (!mServer.is_running()) {
    std::this_thread::yield();
  }
  return {};
}

void
admin_server::Stop()
{
  if (mListener.joinable()) {
    mServer.stop();
    mListener.join();
  }
}

} // namespace cowslipline
