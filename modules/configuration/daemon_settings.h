#pragma once

#include "core/log.h"
#include "modules/configuration/diagnostic.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace cowslipline {

/// An IP number and a port; port 0 lets the system choose.
struct listen_settings
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/// Settings of one instance. docs/configuration.md lists defaults and bounds.
struct daemon_settings
{
  std::string mInstance;
  std::string mAvailabilityZone;
  std::string mRegion;
  std::string mFleetSecret;
  log_level mLogLevel = log_level::Info;
  /// Longest time from SIGTERM to the exit.
  std::chrono::seconds mDrain{ 30 };
  listen_settings mCallers;
  listen_settings mPeers; ///< Peers connect to this address.
  listen_settings mAdmin;
  std::string mStoreHost;
  std::uint16_t mStorePort = 0;
  std::size_t mThreads = 0; ///< Of the data plane; one for each connection.
  /// Accepted connections that wait for a thread.
  std::size_t mAcceptedConnections = 0;
  /// Requests that wait for admission.
  std::size_t mWaitingRequests = 0;
  /// Budget of buffered bodies.
  std::size_t mBufferedBytes = 0;
};

/// Reads a settings file. On failure all mistakes are returned.
checked<daemon_settings>
LoadSettings(const std::string& aFileName, std::string aText);

} // namespace cowslipline
