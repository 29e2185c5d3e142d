#include "apps/cowslipline/admin_client.h"

#include <chrono>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

constexpr std::chrono::seconds kTimeout{ 2 };
constexpr int kStatusOk = 200;

} // namespace

instance_status
ReadStatus(const endpoint& aAdmin)
{
  instance_status status;
  status.mAddress = aAdmin.mHost + ":" + std::to_string(aAdmin.mPort);
  httplib::Client client(aAdmin.mHost, aAdmin.mPort);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const auto answer = client.Get("/status");
  if (!answer || answer->status != kStatusOk) {
    return status;
  }
  const auto body = nlohmann::json::parse(answer->body, nullptr, false);
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
