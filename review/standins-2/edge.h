#pragma once

#include "net.h"

#include <csignal>

#include <sys/types.h>

namespace review {

/// One process of the role, started with the command of the deploy file.
class edge
{
public:
  struct traits
  {
    std::string mName;
    std::string mZone = "zone-a";
    std::uint16_t mStorePort = 0;
    std::string mFolder; ///< For the settings and the log.
  };

  explicit edge(traits aTraits);
  edge(const edge&) = delete;
  edge& operator=(const edge&) = delete;
  ~edge() { Signal(SIGKILL); }

  void Start();
  void Signal(int aSignal);
  /// Waits until the readiness page answers 200.
  bool AwaitReady(double aTimeout) const;
  std::uint16_t Port() const { return mFront; }
  const std::string& Name() const { return mTraits.mName; }

private:
  traits mTraits;
  std::uint16_t mFront;
  std::uint16_t mReadiness;
  std::uint16_t mPeers;
  std::uint16_t mMetrics;
  std::string mSettings;
  pid_t mProcess = -1;
};

} // namespace review
