#pragma once

#include "review/standins/record.h"

#include <map>

#include <sys/types.h>

namespace review {

/// One instance of the proxy as a process of its own, with settings filled in
/// from the template of the deploy file.
class edge_process
{
public:
  struct options
  {
    std::string mName;
    std::string mZone;
    std::string mIp; ///< A loopback address of its own.
    std::string mStore;
    std::string mFolder; ///< For its settings and its log.
    /// "quota_overshoot" for the setting bounds.quota-overshoot, and so on.
    std::map<std::string, std::string> mBounds;
  };

  edge_process(record& aRecord, options aOptions);
  ~edge_process();
  edge_process(const edge_process&) = delete;
  edge_process& operator=(const edge_process&) = delete;

  bool Start();
  void Signal(int aSignal, const std::string& aWhat) const;
  /// Waits for the end of the process. True when it has ended.
  bool WaitForEnd(std::chrono::milliseconds aLimit);
  /// Waits until GET /-/readyz is answered with 200.
  bool WaitReady(std::chrono::milliseconds aLimit) const;
  bool IsReady() const;

  const std::string& Name() const { return mOptions.mName; }
  const std::string& Ip() const { return mOptions.mIp; }
  std::uint16_t CallersPort() const { return mCallersPort; }
  int ExitStatus() const { return mExitStatus; }

private:
  bool WriteSettings();

  record& mRecord;
  options mOptions;
  std::uint16_t mCallersPort = 0;
  std::uint16_t mReadinessPort = 0;
  std::uint16_t mPeersPort = 0;
  pid_t mProcess = -1;
  int mExitStatus = -1;
};

/// A 127.x.y.0 network, by the id of this process, so that cases that run at
/// the same time do not meet. The last number is aLast.
std::string
LoopbackAddress(int aLast);

/// Bounds of a small deployment.
std::map<std::string, std::string>
UsualBounds();

} // namespace review
