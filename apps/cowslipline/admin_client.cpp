#include "apps/cowslipline/admin_client.h"

#include "core/bounded_json.h"
#include "platform/http_call.h"

#include <chrono>
#include <optional>

namespace cowslipline {

namespace {

constexpr std::chrono::seconds kTimeout{ 2 };
constexpr int kStatusOk = 200;

// A status names each target's decisions.
constexpr std::size_t kMaxStatusBytes = 4UL * 1024 * 1024;

/// The body of the reply; nothing without a whole reply with status 200.
std::optional<std::string>
FetchStatus(const endpoint& aAdmin)
{
  http_call call;
  call.mHost = aAdmin.mHost;
  call.mPort = aAdmin.mPort;
  call.mMethod = "GET";
  call.mTarget = "/status";
  call.mConnectTimeout = kTimeout;
  call.mReplyTimeout = kTimeout;
  call.mReplyBytes = kMaxStatusBytes;
  std::optional<std::string> body;
  asio::io_context context;
  asio::spawn(context, [&](yield_context aYield) {
    auto reply = CallOnce(context, call, aYield);
    if (reply && reply->mHead.mStatus == kStatusOk) {
      body = std::move(reply->mBody);
    }
  });
  context.run();
  return body;
}

} // namespace

instance_status
ReadStatus(const endpoint& aAdmin)
{
  instance_status status;
  status.mAddress = aAdmin.mHost + ":" + std::to_string(aAdmin.mPort);
  const auto text = FetchStatus(aAdmin);
  if (!text) {
    return status;
  }
  const auto body = ParseBoundedJson(*text);
  if (!body.is_object() || !body.contains("instance") ||
      !body["instance"].is_string() || !body.contains("version") ||
      !body["version"].is_number_unsigned() || !body.contains("ready") ||
      !body["ready"].is_boolean()) {
    return status;
  }
  status.mIsReached = true;
  status.mInstance = body["instance"].get<std::string>();
  status.mVersion = body["version"].get<std::uint64_t>();
  status.mIsReady = body["ready"].get<bool>();
  return status;
}

} // namespace cowslipline
