#include "core/toml.h"

namespace cowslipline {

tl::expected<toml::table, toml_error>
ParseTomlText(std::string_view aText, std::string_view aFile)
{
  try {
    return toml::parse(aText, aFile);
  } catch (const toml::parse_error& error) {
    return tl::unexpected(toml_error{ error.source().begin.line,
                                      std::string(error.description()) });
  } catch (const std::invalid_argument& error) {
    return tl::unexpected(toml_error{ 0, error.what() });
  }
}

} // namespace cowslipline
