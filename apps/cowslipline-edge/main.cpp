#include "apps/cowslipline-edge/settings_watch.h"
#include "core/log.h"
#include "modules/proxy/proxy.h"
#include "platform/header_names.h"
#include "platform/store_feed.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include <asio/signal_set.hpp>
#include <docopt/docopt.h>

using namespace cowslipline;

namespace {

constexpr char kUsage[] =
  R"(cowslipline-edge: one instance of the proxy fleet on the platform.

Usage:
  cowslipline-edge [--settings FILE] [--check]
  cowslipline-edge (-h | --help)
  cowslipline-edge --version

Options:
  --settings FILE  Settings of this instance in TOML, see docs/platform.md.
                   Without it, the environment variable COWSLIPLINE_CONFIG names
                   the file.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

SIGTERM and SIGINT end the instance gracefully. A changed settings file is read
again within a second, or at SIGHUP.

Exit codes:
  0  ended gracefully, or the settings are correct
  1  cannot start, for example because an address is already in use
  2  the settings are wrong
  3  the grace period ended with requests in progress, which were given up
)";

constexpr int kExitCannotStart = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitRequestsCut = 3;

std::string
SettingsPath(const std::map<std::string, docopt::value>& aOptions)
{
  const auto& given = aOptions.at("--settings");
  if (given) {
    return given.asString();
  }
  const char* variable = std::getenv("COWSLIPLINE_CONFIG");
  return variable == nullptr ? "" : variable;
}

// The settings file may change without a signal. Reading a kilobyte per second
// has no measurable cost.
constexpr duration kSettingsPollInterval = std::chrono::seconds(1);

/// Applies the settings file if it has changed. If it has errors, they are
/// logged and the current settings stay in force.
void
ApplyChangedSettings(settings_watch& aWatch, proxy_instance& aInstance)
{
  const auto settings = aWatch.Poll();
  if (!settings) {
    return;
  }
  for (const auto& error : settings->mErrors) {
    Log(log_level::Warn, "settings_wrong", { { "mistake", error } });
  }
  if (!settings->mErrors.empty()) {
    return;
  }
  for (const auto& setting : aInstance.Apply(settings->mProxy)) {
    Log(log_level::Warn, "settings_need_restart", { { "setting", setting } });
  }
  Log(log_level::Info, "settings_read", {});
}

/// Calls aReload at each SIGHUP, and aShutDown once at the first SIGTERM or
/// SIGINT.
void
WatchSignals(asio::signal_set& aSignals,
             std::function<void()> aReload,
             std::function<void()> aShutDown)
{
  aSignals.async_wait(
    [&aSignals, reload = std::move(aReload), shutDown = std::move(aShutDown)](
      const asio::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        reload();
        WatchSignals(aSignals, reload, shutDown);
        return;
      }
      shutDown();
    });
}

int
Run(const proxy_settings& aSettings, settings_watch aWatch)
{
  asio::io_context context(1);
  system_scheduler scheduler(context);
  store_feed feed(context, aSettings.mStore);
  std::random_device device;
  const auto seed = (std::uint64_t{ device() } << 32) | device();
  auto instance =
    proxy_instance::Create(scheduler, aSettings, PlatformHeaders(), feed, seed);
  if (!instance) {
    Log(log_level::Error,
        "start_failed",
        { { "message", instance.error().message() } });
    return kExitCannotStart;
  }
  Log(log_level::Info,
      "started",
      { { "version", COWSLIPLINE_VERSION },
        { "zone", aSettings.mAvailabilityZone } });
  (*instance)->Start();
  int exitCode = 0;
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  const auto reload = [&] { ApplyChangedSettings(aWatch, **instance); };
  WatchSignals(signals, reload, [&] {
    scheduler.Spawn([&](yield_context aYield) {
      exitCode = (*instance)->Leave(aYield) ? 0 : kExitRequestsCut;
      context.stop();
    });
  });
  scheduler.Spawn([&](yield_context aYield) {
    while (true) {
      scheduler.SleepFor(kSettingsPollInterval, aYield);
      reload();
    }
  });
  context.run();
  // Suspended tasks still hold references to the instance. The process exits
  // without unwinding them.
  std::cout.flush();
  std::_Exit(exitCode);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto options =
    docopt::docopt(kUsage,
                   { aArguments + 1, aArguments + aArgumentCount },
                   true,
                   "cowslipline-edge " COWSLIPLINE_VERSION);
  const auto path = SettingsPath(options);
  const auto text = ReadSettingsFile(path);
  if (!text) {
    std::cerr << "cannot read the settings file '" << path << "'\n";
    return kExitInvalidSettings;
  }
  const auto settings = ParseEdgeSettings(*text);
  if (!settings.mErrors.empty()) {
    for (const auto& error : settings.mErrors) {
      std::cerr << path << ": " << error << '\n';
    }
    return kExitInvalidSettings;
  }
  if (options.at("--check").asBool()) {
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  ConfigureLog(log_level::Info, settings.mProxy.mInstance, log_stream::Output);
  return Run(settings.mProxy, settings_watch(path, *text));
}
