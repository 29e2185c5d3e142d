#include "review/standins/edge_process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr char kTemplate[] = "deploy/settings.toml.template";
constexpr char kProgram[] = "target/apps/cowslipline-edge";

void
ReplaceAll(std::string& aText, const std::string& aOld, const std::string& aNew)
{
  for (auto at = aText.find(aOld); at != std::string::npos;
       at = aText.find(aOld, at + aNew.size())) {
    aText.replace(at, aOld.size(), aNew);
  }
}

} // namespace

std::string
LoopbackAddress(int aLast)
{
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(20 + process / 250 % 200) + "." +
         std::to_string(1 + process % 250) + "." + std::to_string(aLast);
}

std::map<std::string, std::string>
UsualBounds()
{
  return { { "grace-s", "6" },        { "revoke-s", "5" },
           { "floor-share", "0.7" },  { "retry-budget-ratio", "0.2" },
           { "budget-extra", "60" },  { "budget-window-s", "10" },
           { "quota-window-s", "5" }, { "quota-overshoot", "0.1" },
           { "quota-slack", "20" },   { "config-apply-s", "2" } };
}

edge_process::edge_process(record& aRecord, options aOptions)
  : mRecord(aRecord)
  , mOptions(std::move(aOptions))
  , mCallersPort(FindFreePort(mOptions.mIp))
  , mReadinessPort(FindFreePort(mOptions.mIp))
  , mPeersPort(FindFreePort(mOptions.mIp))
{
}

edge_process::~edge_process()
{
  if (mProcess > 0) {
    ::kill(mProcess, SIGCONT);
    ::kill(mProcess, SIGKILL);
    WaitForEnd(2s);
  }
}

bool
edge_process::WriteSettings()
{
  const std::ifstream file(kTemplate);
  std::ostringstream read;
  read << file.rdbuf();
  auto text = read.str();
  if (text.empty()) {
    return false;
  }
  const auto at = [this](std::uint16_t aPort) {
    return mOptions.mIp + ":" + std::to_string(aPort);
  };
  ReplaceAll(text, "{{node-name}}", mOptions.mName);
  ReplaceAll(text, "{{zone}}", mOptions.mZone);
  ReplaceAll(text, "{{listen.front}}", at(mCallersPort));
  ReplaceAll(text, "{{listen.readiness}}", at(mReadinessPort));
  ReplaceAll(text, "{{ip}}", mOptions.mIp);
  ReplaceAll(text, "{{internal-ports.0}}", std::to_string(mPeersPort));
  ReplaceAll(text, "{{platform.address}}", mOptions.mStore);
  ReplaceAll(text, "{{limits.memory-mb}}", "260");
  for (const auto& [name, value] : mOptions.mBounds) {
    ReplaceAll(text, "{{bounds." + name + "}}", value);
  }
  std::ofstream settings(mOptions.mFolder + "/" + mOptions.mName + ".toml");
  settings << text;
  return settings.good() && text.find("{{") == std::string::npos;
}

bool
edge_process::Start()
{
  if (!WriteSettings()) {
    return false;
  }
  const auto settings =
    "COWSLIPLINE_CONFIG=" + mOptions.mFolder + "/" + mOptions.mName + ".toml";
  const auto log = mOptions.mFolder + "/" + mOptions.mName + ".log";
  const int output =
    ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  mProcess = ::fork();
  if (mProcess == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::string variable = settings;
    std::string program = kProgram;
    char* arguments[] = { program.data(), nullptr };
    char* environment[] = { variable.data(), nullptr };
    ::execve(kProgram, arguments, environment);
    ::_exit(127);
  }
  ::close(output);
  mRecord.Add("started " + mOptions.mName);
  return mProcess > 0;
}

void
edge_process::Signal(int aSignal, const std::string& aWhat) const
{
  mRecord.Add(aWhat + " " + mOptions.mName);
  ::kill(mProcess, aSignal);
}

bool
edge_process::WaitForEnd(std::chrono::milliseconds aLimit)
{
  const auto end = clock_type::now() + aLimit;
  while (mProcess > 0) {
    if (::waitpid(mProcess, &mExitStatus, WNOHANG) == mProcess) {
      mProcess = -1;
      mRecord.Add("ended " + mOptions.mName + " with wait status " +
                  std::to_string(mExitStatus));
      return true;
    }
    if (clock_type::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

bool
edge_process::IsReady() const
{
  auto socket = http_socket::Connect(mOptions.mIp, mReadinessPort);
  if (!socket ||
      !socket->Send("GET /-/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")) {
    return false;
  }
  const auto answer = socket->Receive(clock_type::now() + 500ms);
  return answer && answer->Status() == 200;
}

bool
edge_process::WaitReady(std::chrono::milliseconds aLimit) const
{
  const auto end = clock_type::now() + aLimit;
  while (clock_type::now() < end) {
    if (IsReady()) {
      mRecord.Add("ready " + mOptions.mName);
      return true;
    }
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

} // namespace review
