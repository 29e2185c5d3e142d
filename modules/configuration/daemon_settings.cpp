#include "modules/configuration/daemon_settings.h"

#include "modules/configuration/table_reader.h"

namespace cowslipline {

namespace {

log_level
ParseLogLevel(const std::string& aText)
{
  if (aText == "debug") {
    return log_level::Debug;
  }
  if (aText == "warn") {
    return log_level::Warn;
  }
  return aText == "error" ? log_level::Error : log_level::Info;
}

/// Reads the tables of one settings file.
class settings_parser
{
public:
  explicit settings_parser(const std::string& aFileName)
    : mFile(aFileName)
  {
  }

  daemon_settings Read(const toml::table& aRoot)
  {
    ReadGeneral(Open(aRoot, ""));
    mSettings.mCallers = ReadListen(aRoot, "callers");
    mSettings.mPeers = ReadListen(aRoot, "peers");
    mSettings.mAdmin = ReadListen(aRoot, "admin");
    ReadStore(Open(aRoot, "store"));
    ReadBounds(Open(aRoot, "bounds"));
    return mSettings;
  }

  diagnostics mDiagnostics;

private:
  /// A table that is absent reads as empty, so that its required keys are
  /// reported.
  table_reader Open(const toml::table& aRoot, std::string_view aName)
  {
    static const toml::table kEmpty;
    const auto* node = aName.empty() ? &aRoot : aRoot.get(aName);
    if (node != nullptr && !node->is_table()) {
      mDiagnostics.push_back({ mFile,
                               node->source().begin.line,
                               std::string(aName),
                               "the value is not a table",
                               "write [" + std::string(aName) + "]" });
    }
    const auto* table = node == nullptr ? nullptr : node->as_table();
    return { table == nullptr ? kEmpty : *table,
             aName,
             SettingsSchema(),
             mFile,
             mDiagnostics };
  }

  void ReadGeneral(const table_reader& aReader)
  {
    mSettings.mInstance = aReader.Text("instance");
    mSettings.mAvailabilityZone = aReader.Text("availability_zone");
    mSettings.mRegion = aReader.Text("region");
    mSettings.mFleetSecret = aReader.Text("fleet_secret");
    mSettings.mLogLevel = ParseLogLevel(aReader.Text("log_level"));
    mSettings.mDrain = std::chrono::seconds(aReader.Integer("drain_seconds"));
  }

  listen_settings ReadListen(const toml::table& aRoot, std::string_view aName)
  {
    const auto reader = Open(aRoot, aName);
    return { reader.Text("address"),
             static_cast<std::uint16_t>(reader.Integer("port")) };
  }

  void ReadStore(const table_reader& aReader)
  {
    mSettings.mStoreHost = aReader.Text("host");
    mSettings.mStorePort = static_cast<std::uint16_t>(aReader.Integer("port"));
  }

  void ReadBounds(const table_reader& aReader)
  {
    const auto count = [&aReader](std::string_view aKey) {
      return static_cast<std::size_t>(aReader.Integer(aKey));
    };
    mSettings.mThreads = count("threads");
    mSettings.mAcceptedConnections = count("accepted_connections");
    mSettings.mWaitingRequests = count("waiting_requests");
    mSettings.mBufferedBytes = count("buffered_bytes");
  }

  const std::string& mFile;
  daemon_settings mSettings;
};

} // namespace

checked<daemon_settings>
LoadSettings(const std::string& aFileName, std::string aText)
{
  settings_parser parser(aFileName);
  const auto root =
    ParseToml({ aFileName, std::move(aText) }, parser.mDiagnostics);
  if (!root) {
    return tl::unexpected<diagnostics>(std::move(parser.mDiagnostics));
  }
  auto settings = parser.Read(*root);
  if (!parser.mDiagnostics.empty()) {
    return tl::unexpected<diagnostics>(std::move(parser.mDiagnostics));
  }
  return settings;
}

} // namespace cowslipline
