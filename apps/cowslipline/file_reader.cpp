#include "apps/cowslipline/file_reader.h"

#include "modules/configuration/schema.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace cowslipline {

namespace {

std::optional<std::string>
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::error_code error;
  if (!file || std::filesystem::is_directory(aPath, error)) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// The path itself, or the *.toml files when it is a folder.
std::vector<std::string>
Expand(const std::string& aPath)
{
  std::error_code error;
  if (!std::filesystem::is_directory(aPath, error)) {
    return { aPath };
  }
  std::vector<std::string> paths;
  for (const auto& entry : std::filesystem::directory_iterator(aPath, error)) {
    if (entry.path().extension() == ".toml") {
      paths.push_back(entry.path().string());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

} // namespace

tl::expected<std::vector<text_file>, std::string>
ReadServiceFiles(const std::vector<std::string>& aPaths)
{
  std::vector<text_file> files;
  for (const auto& path : aPaths) {
    const auto expanded = Expand(path);
    if (expanded.empty()) {
      return tl::unexpected<std::string>(path +
                                         ": the folder has no .toml file");
    }
    for (const auto& name : expanded) {
      auto text = ReadText(name);
      if (!text) {
        return tl::unexpected<std::string>(name + ": cannot be read");
      }
      files.push_back({ name, std::move(*text) });
    }
  }
  return files;
}

tl::expected<std::string, std::string>
ReadFleetSecret(const std::string& aPath)
{
  std::string secret;
  if (aPath.empty()) {
    const char* value = std::getenv("COWSLIPLINE_FLEET_SECRET");
    secret = value == nullptr ? "" : value;
  } else {
    const auto text = ReadText(aPath);
    if (!text) {
      return tl::unexpected<std::string>(aPath + ": cannot be read");
    }
    secret = text->substr(0, text->find_first_of("\r\n"));
  }
  // The same bounds as in the daemon's settings: a key issued with another
  // secret would never be recognised.
  const auto* schema = FindKey(SettingsSchema(), "", "fleet_secret");
  const auto size = static_cast<double>(secret.size());
  if (size < schema->mLeast || size > schema->mMost ||
      !HasForm(secret, schema->mForm)) {
    return tl::unexpected<std::string>(
      "the fleet's secret is missing or invalid: set COWSLIPLINE_FLEET_SECRET "
      "or give --secret-file; allowed: " +
      DescribeAllowed(*schema));
  }
  return secret;
}

} // namespace cowslipline
