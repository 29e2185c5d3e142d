#pragma once

#include "modules/configuration/content.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace cowslipline {

/// Digest under which the configuration holds a key.
digest32
DigestKey(std::string_view aSecret, std::string_view aKeyText);

struct issued_key
{
  key_definition mDefinition;
  /// "cw_<id>_<64 hexadecimal digits>". Shown once, never stored or logged.
  std::string mText;
};

/// Makes a key from 32 random bytes of the operating system.
issued_key
IssueKey(std::string_view aSecret,
         std::string_view aOrganisation,
         std::string_view aId);

/// A key id of 12 random hexadecimal digits.
std::string
MakeKeyId();

/// Joins the keys in force with those of the files that are published. No key
/// in force is lost, and a key that is withdrawn on either side stays
/// withdrawn. On failure, the conflicts in words: an id with two digests or
/// organisations, or a digest with two ids.
tl::expected<std::vector<key_definition>, std::vector<std::string>>
MergeKeys(const std::vector<key_definition>& aInForce,
          const std::vector<key_definition>& aPublished);

/// What a publication of the files puts in force: their services and
/// organisations, and the keys as MergeKeys() joins them.
tl::expected<configuration_content, std::vector<std::string>>
MergeContent(const configuration_content& aInForce,
             const configuration_content& aPublished);

} // namespace cowslipline
