#include "apps/cowslipline-edge/edge_settings.h"

#include "core/toml.h"

#include <fstream>
#include <optional>
#include <sstream>

namespace cowslipline {

namespace {

/// Reads fields of a TOML table by their dotted paths and appends an error
/// message for each field that is missing or invalid.
class settings_reader
{
public:
  settings_reader(const toml::table& aTable, std::vector<std::string>& aErrors)
    : mTable(aTable)
    , mErrors(aErrors)
  {
  }

  /// A required, non-empty string.
  std::string String(const char* aPath)
  {
    const auto value = mTable.at_path(aPath).value<std::string>();
    if (!value || value->empty()) {
      mErrors.push_back(std::string(aPath) +
                        ": a non-empty string is required");
    }
    return value.value_or("");
  }

  /// A required IP address and port.
  tcp_endpoint Endpoint(const char* aPath)
  {
    const auto text = String(aPath);
    const auto endpoint = ParseIpEndpoint(text);
    if (!endpoint && !text.empty()) {
      mErrors.push_back(std::string(aPath) + ": expected IP:PORT, found '" +
                        text + "'");
    }
    return endpoint.value_or(tcp_endpoint());
  }

  /// A number from aLow to aHigh, or the default when the field is missing.
  double Number(const char* aPath, double aDefault, double aLow, double aHigh)
  {
    const auto node = mTable.at_path(aPath);
    if (!node) {
      return aDefault;
    }
    const auto value = node.value<double>();
    if (!value || *value < aLow || *value > aHigh) {
      std::ostringstream text;
      text << aPath << ": expected a number from " << aLow << " to " << aHigh;
      mErrors.push_back(text.str());
      return aDefault;
    }
    return *value;
  }

  /// A duration in seconds, up to an hour.
  duration Seconds(const char* aPath, duration aDefault)
  {
    constexpr double kMaxSeconds = 3600;
    const double seconds =
      Number(aPath,
             std::chrono::duration<double>(aDefault).count(),
             0.001,
             kMaxSeconds);
    return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
  }

private:
  const toml::table& mTable;
  std::vector<std::string>& mErrors;
};

} // namespace

edge_settings
ParseEdgeSettings(std::string_view aText)
{
  edge_settings settings;
  const auto table = ParseTomlText(aText, "settings");
  if (!table) {
    const auto line = table.error().mLine;
    settings.mErrors.push_back(
      (line > 0 ? "line " + std::to_string(line) + ": " : std::string()) +
      table.error().mMessage);
    return settings;
  }
  settings_reader reader(*table, settings.mErrors);
  auto& proxy = settings.mProxy;
  proxy.mInstance = reader.String("instance");
  proxy.mAvailabilityZone = reader.String("availability_zone");
  proxy.mCallers = reader.Endpoint("listen.callers");
  proxy.mReadiness = reader.Endpoint("listen.readiness");
  proxy.mMetrics = reader.Endpoint("listen.metrics");
  const auto peers = reader.Endpoint("listen.peers");
  proxy.mPeers = { peers.address(), peers.port() };
  proxy.mStore = reader.Endpoint("store.address");
  proxy.mGrace = reader.Seconds("bounds.grace_seconds", proxy.mGrace);
  auto& bounds = proxy.mBounds;
  bounds.mRevocation =
    reader.Seconds("bounds.revocation_seconds", bounds.mRevocation);
  bounds.mConfiguration =
    reader.Seconds("bounds.configuration_seconds", bounds.mConfiguration);
  bounds.mFloorShare =
    reader.Number("bounds.floor_share", bounds.mFloorShare, 0, 1);
  bounds.mColdOvershoot =
    reader.Number("bounds.cold_overshoot", bounds.mColdOvershoot, 1, 100);
  bounds.mColdSlack =
    reader.Number("bounds.cold_slack", bounds.mColdSlack, 0, 1e6);
  auto& owners = bounds.mOwners;
  auto& quotas = owners.mQuotas;
  quotas.mWindow =
    reader.Seconds("bounds.quota_window_seconds", quotas.mWindow);
  quotas.mOvershoot =
    reader.Number("bounds.quota_overshoot", quotas.mOvershoot, 0, 10);
  quotas.mSlack = reader.Number("bounds.quota_slack", quotas.mSlack, 0, 1e6);
  auto& retries = owners.mRetries;
  retries.mRatio = reader.Number("bounds.retry_ratio", retries.mRatio, 0, 10);
  retries.mExtra = reader.Number("bounds.retry_extra", retries.mExtra, 0, 1e6);
  retries.mWindow =
    reader.Seconds("bounds.retry_window_seconds", retries.mWindow);
  constexpr double kMaxSlots = 1000;
  proxy.mEvenLoadSlots = static_cast<std::uint32_t>(reader.Number(
    "placement.even_load_slots", proxy.mEvenLoadSlots, 0, kMaxSlots));
  constexpr double kBytesPerMebibyte = 1024.0 * 1024;
  // Share of the memory limit that request and response bodies may occupy.
  constexpr double kBufferedShare = 0.25;
  const double memoryMebibytes =
    reader.Number("limits.memory_mb", 256, 16, 1e6);
  proxy.mBufferedBytes = static_cast<std::size_t>(
    memoryMebibytes * kBytesPerMebibyte * kBufferedShare);
  return settings;
}

std::optional<std::string>
ReadSettingsFile(const std::string& aPath)
{
  const std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace cowslipline
