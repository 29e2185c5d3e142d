#pragma once

#include "modules/configuration/content.h"
#include "modules/configuration/table_reader.h"

#include <map>
#include <set>
#include <string>

namespace cowslipline {

/// Collects the content of several service files and checks it across files.
class service_file_parser
{
public:
  void AddFile(const text_file& aFile);

  /// Checks what needs all files. To be called once, after the last file.
  checked<configuration_content> Finish();

private:
  struct place
  {
    std::string mFile;
    std::size_t mLine = 0;
    std::string mKey;
  };
  using places = std::map<std::string, place, std::less<>>;

  void ReadTables(const toml::table& aRoot,
                  std::string_view aName,
                  void (service_file_parser::*aRead)(table_reader&));
  void CheckRoot(const toml::table& aRoot);
  void ReadService(const toml::table& aRoot);
  void ReadTarget(table_reader& aReader);
  void ReadRoute(table_reader& aReader);
  void ReadOrganisation(table_reader& aReader);
  void ReadKey(table_reader& aReader);
  void CheckFloor(table_reader& aReader);
  void CheckSize(table_reader& aReader);
  /// Reports a value that an earlier table has already.
  void Claim(places& aPlaces,
             const std::string& aValue,
             table_reader& aReader,
             std::string_view aKey);
  void Refer(const std::string& aOrganisation,
             const table_reader& aReader,
             std::string_view aTable,
             std::string_view aKey);
  void CheckReferences();
  void Report(std::size_t aLine,
              std::string aKey,
              std::string aProblem,
              std::string aHint);

  std::string mFile;
  service_definition mService;
  places mTargetIds;
  places mTargetAddresses;

  configuration_content mContent;
  diagnostics mDiagnostics;
  places mFiles;
  places mServices;
  places mRouteIds;
  places mRoutePaths;
  places mOrganisations;
  places mKeyIds;
  places mKeyDigests;
  std::vector<std::pair<std::string, place>> mReferences;
};

} // namespace cowslipline
