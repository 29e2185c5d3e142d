#pragma once

#include "modules/configuration/text_form.h"

#include <cstdint>
#include <string>

namespace cowslipline {

/// What an instance says about itself.
struct instance_status
{
  std::string mAddress; ///< HOST:PORT of the admin listener.
  bool mIsReached = false;
  std::string mInstance;
  std::uint64_t mVersion = 0; ///< Of the configuration in force.
  bool mIsReady = false;
};

/// Reads /status of the admin listener: a JSON object with the members
/// "instance", "version" and "ready". mIsReached is false when there is no
/// such answer within 2 s.
instance_status
ReadStatus(const endpoint& aAdmin);

} // namespace cowslipline
