#include "modules/configuration/configuration.h"
#include "tests/story.h"

#include <algorithm>

using namespace cowslipline;

namespace {

const std::string kShortest = "instance = \"hronec-1\"\n"
                              "availability_zone = \"a\"\n"
                              "region = \"hr\"\n"
                              "fleet_secret = \"0123456789abcdef\"\n"
                              "[peers]\n"
                              "address = \"10.0.0.5\"\n"
                              "[store]\n"
                              "host = \"store.internal\"\n"
                              "port = 7000\n";

/// Replaces one part of the shortest file.
std::string
Replace(const std::string& aOld, const std::string& aNew)
{
  auto text = kShortest;
  return text.replace(text.find(aOld), aOld.size(), aNew);
}

struct wrong_settings
{
  const char* mOld;
  const char* mNew;
  std::size_t mLine;
  const char* mKey;
  const char* mRemedy;
};

// One case for each line.
// clang-format off
const wrong_settings kWrongSettings[] = {
  { "instance = \"hronec-1\"", "", 1, "instance", "1 to 64" },
  { "hronec-1", "Hronec 1", 1, "instance", "lower-case" },
  { "\"a\"", "3", 2, "availability_zone", "characters" },
  { "0123456789abcdef", "short", 4, "fleet_secret", "16 to 256" },
  { "[peers]", "log_level = \"loud\"\n[peers]", 5, "log_level", "debug, info" },
  { "[peers]", "drain_seconds = 31\n[peers]", 5, "drain_seconds", "1 to 30" },
  { "[peers]", "[peers]\nport = -1", 6, "peers.port", "0 to 65535" },
  { "10.0.0.5", "0.0.0.0", 6, "peers.address", "not 0.0.0.0" },
  { "10.0.0.5", "localhost", 6, "peers.address", "IP number" },
  { "[peers]", "[callers]\naddress = \"x\"\n[peers]", 6, "callers.address", "IP number" },
  { "[peers]", "[admin]\nport = 65536\n[peers]", 6, "admin.port", "0 to 65535" },
  { "[peers]", "[bounds]\nthreads = 0\n[peers]", 6, "bounds.threads", "1 to 1024" },
  { "[peers]", "[bounds]\nqueue = 4\n[peers]", 6, "bounds.queue", "threads, accepted" },
  { "[peers]", "[fleet]\n[peers]", 5, "fleet", "instance" },
  { "[peers]", "callers = 1\n[peers]", 5, "callers", "write [callers]" },
  { "port = 7000", "", 7, "store.port", "1 to 65535" },
  { "port = 7000", "port = \"7000\"", 9, "store.port", "1 to 65535" },
  { "store.internal", "a b", 8, "store.host", "host name" },
  { "region = ", "region ", 3, "", "valid TOML" },
};
// clang-format on

} // namespace

TEST_GROUP(daemon_settings){};

// Guards against defaults that differ from the documented ones.
TEST(daemon_settings, TheShortestFileGetsTheDefaults)
{
  const auto settings = LoadSettings("daemon.toml", kShortest);
  CHECK(settings.has_value());
  STRCMP_EQUAL("hronec-1", settings->mInstance.c_str());
  STRCMP_EQUAL("a", settings->mAvailabilityZone.c_str());
  STRCMP_EQUAL("hr", settings->mRegion.c_str());
  STRCMP_EQUAL("0123456789abcdef", settings->mFleetSecret.c_str());
  CHECK(settings->mLogLevel == log_level::Info);
  LONGS_EQUAL(30, settings->mDrain.count());
  STRCMP_EQUAL("0.0.0.0", settings->mCallers.mAddress.c_str());
  LONGS_EQUAL(8080, settings->mCallers.mPort);
  STRCMP_EQUAL("10.0.0.5", settings->mPeers.mAddress.c_str());
  LONGS_EQUAL(8081, settings->mPeers.mPort);
  STRCMP_EQUAL("127.0.0.1", settings->mAdmin.mAddress.c_str());
  LONGS_EQUAL(8082, settings->mAdmin.mPort);
  STRCMP_EQUAL("store.internal", settings->mStoreHost.c_str());
  LONGS_EQUAL(7000, settings->mStorePort);
  LONGS_EQUAL(128, settings->mThreads);
  LONGS_EQUAL(64, settings->mAcceptedConnections);
  LONGS_EQUAL(64, settings->mWaitingRequests);
  LONGS_EQUAL(256 * 1024 * 1024, settings->mBufferedBytes);
}

// Guards against a daemon that cannot run on ports that the system chooses.
TEST(daemon_settings, PortZeroAndEveryValueAreRead)
{
  const auto settings =
    LoadSettings("daemon.toml",
                 Replace("[peers]\n",
                         "log_level = \"warn\"\ndrain_seconds = 2\n"
                         "[callers]\naddress = \"127.0.0.1\"\nport = 0\n"
                         "[admin]\naddress = \"::1\"\nport = 0\n"
                         "[bounds]\nthreads = 1\naccepted_connections = 2\n"
                         "waiting_requests = 3\nbuffered_bytes = 1048576\n"
                         "[peers]\nport = 0\n"));
  CHECK(settings.has_value());
  CHECK(settings->mLogLevel == log_level::Warn);
  LONGS_EQUAL(2, settings->mDrain.count());
  STRCMP_EQUAL("127.0.0.1", settings->mCallers.mAddress.c_str());
  STRCMP_EQUAL("::1", settings->mAdmin.mAddress.c_str());
  LONGS_EQUAL(0, settings->mCallers.mPort);
  LONGS_EQUAL(0, settings->mPeers.mPort);
  LONGS_EQUAL(0, settings->mAdmin.mPort);
  LONGS_EQUAL(1, settings->mThreads);
  LONGS_EQUAL(2, settings->mAcceptedConnections);
  LONGS_EQUAL(3, settings->mWaitingRequests);
  LONGS_EQUAL(1048576, settings->mBufferedBytes);
}

// Guards against a mistake that is accepted or reported at another place.
TEST(daemon_settings, WrongSettingsAreReportedWithPlaceAndRemedy)
{
  for (const auto& wrong : kWrongSettings) {
    SECTION(wrong.mNew)
    {
      const auto settings =
        LoadSettings("daemon.toml", Replace(wrong.mOld, wrong.mNew));
      CHECK_FALSE(settings.has_value());
      std::string text = "found:";
      for (const auto& entry : settings.error()) {
        text += "\n" + FormatDiagnostic(entry);
      }
      CHECK_TEXT(std::any_of(settings.error().begin(),
                             settings.error().end(),
                             [&](const auto& aEntry) {
                               return aEntry.mLine == wrong.mLine &&
                                      aEntry.mKey == wrong.mKey &&
                                      aEntry.mHint.find(wrong.mRemedy) !=
                                        std::string::npos;
                             }),
                 text.c_str());
    }
  }
}

// Guards against a secret that appears in a log through an error message.
TEST(daemon_settings, MessagesDoNotShowTheSecret)
{
  const auto settings = LoadSettings(
    "daemon.toml", Replace("0123456789abcdef", "hush hush hush hush"));
  CHECK_FALSE(settings.has_value());
  for (const auto& entry : settings.error()) {
    CHECK(FormatDiagnostic(entry).find("hush") == std::string::npos);
  }
}
