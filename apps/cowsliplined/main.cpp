#include "apps/cowsliplined/instance_daemon.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <docopt/docopt.h>

using namespace cowslipline;

namespace {

constexpr char kUsage[] =
  R"(cowsliplined: one instance of the cowslipline proxy fleet.

Usage:
  cowsliplined --settings FILE [--check]
  cowsliplined (-h | --help)
  cowsliplined --version

Options:
  --settings FILE  Settings of this instance in TOML, see docs/configuration.md.
  --check          Check the settings and end.
  -h --help        Show this text.
  --version        Show the version.

SIGTERM and SIGINT end the instance gracefully.

Exit codes:
  0  ended gracefully, or the settings are correct
  1  cannot start, for example because an address is taken
  2  the settings are wrong
  3  requests were cut because the drain time was over
)";

constexpr int kExitCannotStart = 1;
constexpr int kExitSettings = 2;
constexpr int kExitCut = 3;

/// Signals are taken by WaitForSignal() alone, in the main thread.
sigset_t
BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void
WaitForSignal(const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
}

checked<daemon_settings>
ReadSettings(const std::string& aPath)
{
  const std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return LoadSettings(aPath, text.str());
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto options =
    docopt::docopt(kUsage,
                   { aArguments + 1, aArguments + aArgumentCount },
                   true,
                   "cowsliplined " COWSLIPLINE_VERSION);
  const auto settings = ReadSettings(options.at("--settings").asString());
  if (!settings) {
    for (const auto& mistake : settings.error()) {
      std::cerr << FormatDiagnostic(mistake) << '\n';
    }
    return kExitSettings;
  }
  if (options.at("--check").asBool()) {
    return 0;
  }
  const auto signals = BlockSignals();
  ConfigureLog(settings->mLogLevel, settings->mInstance);
  auto daemon = instance_daemon::Create(*settings);
  const auto started =
    daemon ? (*daemon)->Start() : result<void>(Fail(daemon.error()));
  if (!started) {
    Log(log_level::Error,
        "start_failed",
        { { "message", started.error().message() } });
    return kExitCannotStart;
  }
  WaitForSignal(signals);
  return (*daemon)->Leave() ? 0 : kExitCut;
}
