#pragma once

#include <cstdint>
#include <string>

namespace cowslipline {

/// Where peers connect to an instance.
struct peer_address
{
  std::string mAddress; ///< IP address.
  std::uint16_t mPort = 0;
};

} // namespace cowslipline
