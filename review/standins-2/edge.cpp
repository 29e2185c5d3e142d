#include "edge.h"

#include <fstream>
#include <regex>
#include <sstream>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::string
ReadFile(const std::string& aPath)
{
  const std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The value of a line `aName = "..."` of the deploy file.
std::string
DeployValue(const std::string& aName)
{
  const auto text = ReadFile("deploy/system.toml");
  std::smatch found;
  return std::regex_search(
           text, found, std::regex("\n" + aName + " = \"([^\"]*)\""))
           ? found[1].str()
           : std::string();
}

void
Replace(std::string& aText, const std::string& aOld, const std::string& aNew)
{
  const auto place = aText.find(aOld);
  if (place != std::string::npos) {
    aText.replace(place, aOld.size(), aNew);
  }
}

std::vector<std::string>
Words(const std::string& aText)
{
  std::istringstream stream(aText);
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

} // namespace

edge::edge(traits aTraits)
  : mTraits(std::move(aTraits))
  , mFront(FreePort())
  , mReadiness(FreePort())
  , mPeers(FreePort())
  , mMetrics(FreePort())
  , mSettings(mTraits.mFolder + '/' + mTraits.mName + ".toml")
{
  auto text = ReadFile(DeployValue("template"));
  const auto local = [](std::uint16_t aPort) {
    return "127.0.0.1:" + std::to_string(aPort);
  };
  // Processes on one address need different ports.
  Replace(text, "{{ip}}:{{internal-ports.0}}", local(mPeers));
  Replace(text, "{{ip}}:9464", local(mMetrics));
  // Sections of values that this deployment does not have.
  text = std::regex_replace(
    text, std::regex("\\{\\{#[^}]*\\}\\}[^]*?\\{\\{/[^}]*\\}\\}"), "");
  const std::map<std::string, std::string> values = {
    { "node-name", mTraits.mName },
    { "zone", mTraits.mZone },
    { "listen.front", local(mFront) },
    { "listen.readiness", local(mReadiness) },
    { "platform.address", local(mTraits.mStorePort) },
    { "limits.memory-mb", "260" },
    { "bounds.grace-s", "6" },
    { "bounds.revoke-s", "5" },
    { "bounds.floor-share", "0.7" },
    { "bounds.retry-budget-ratio", "0.2" },
    { "bounds.budget-extra", "60" },
    { "bounds.budget-window-s", "10" },
    { "bounds.quota-window-s", "5" },
    { "bounds.quota-overshoot", "0.1" },
    { "bounds.quota-slack", "20" },
    { "bounds.config-apply-s", "2" },
  };
  for (const auto& [name, value] : values) {
    Replace(text, "{{" + name + "}}", value);
  }
  std::ofstream(mSettings) << text;
}

void
edge::Start()
{
  auto words = Words(DeployValue("run"));
  const auto log = mTraits.mFolder + '/' + mTraits.mName + ".log";
  const auto setting = "COWSLIPLINE_CONFIG=" + mSettings;
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const pid_t started = ::fork();
  if (started == 0) {
    // It ends with the test, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::string kept = setting;
    std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = { kept.data(), path.data(), nullptr };
    ::execve(arguments[0], arguments.data(), environment);
    ::_exit(127);
  }
  mProcess = started;
}

void
edge::Signal(int aSignal)
{
  if (mProcess <= 0) {
    return;
  }
  ::kill(mProcess, aSignal);
  if (aSignal == SIGKILL) {
    ::waitpid(mProcess, nullptr, 0);
    mProcess = -1;
  }
}

bool
edge::AwaitReady(double aTimeout) const
{
  const double until = Now() + aTimeout;
  while (Now() < until) {
    const int made = Connect("127.0.0.1", mReadiness, 0);
    if (made >= 0) {
      connection asked(made);
      asked.Write("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
      const auto answer = asked.Read(1);
      if (answer && answer->Status() == 200) {
        return true;
      }
    }
    SleepFor(0.02);
  }
  return false;
}

} // namespace review
