#include "modules/configuration/service_files.h"

#include "modules/configuration/service_file_parser.h"

namespace cowslipline {

checked<configuration_content>
ParseServiceFiles(const std::vector<text_file>& aFiles)
{
  service_file_parser parser;
  for (const auto& file : aFiles) {
    parser.AddFile(file);
  }
  return parser.Finish();
}

} // namespace cowslipline
