#pragma once

#include "modules/configuration/snapshot.h"

#include <string>
#include <string_view>
#include <variant>

namespace cowslipline {

/// The key is in force and its organisation exists.
struct key_verified
{
  organisation_index mOrganisation = 0;
  std::string mKeyId;
};
/// There is no Authorization header.
struct key_missing
{};
/// The header is not "Bearer " and 1 to 256 characters of letters, digits and
/// - . _ ~ + / = (RFC 6750).
struct key_malformed
{};
/// No key has this digest, or its organisation is not in the configuration.
struct key_unknown
{};
struct key_withdrawn
{
  std::string mKeyId;
};

using key_answer = std::
  variant<key_verified, key_missing, key_malformed, key_unknown, key_withdrawn>;

/// Looks up the key in an Authorization header; empty means that the request
/// has none. The secret is the fleet's.
key_answer
VerifyKey(const snapshot& aSnapshot,
          std::string_view aSecret,
          std::string_view aAuthorization);

} // namespace cowslipline
