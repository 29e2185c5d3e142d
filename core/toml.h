#pragma once

#include <stdexcept>

namespace cowslipline {

[[noreturn]] inline void
ThrowMalformedToml()
{
  throw std::invalid_argument("malformed TOML");
}

} // namespace cowslipline

#ifndef TOML_ENABLE_FORMATTERS
#define TOML_ENABLE_FORMATTERS 0
#endif

// Some malformed keys violate assertions of the parser. They end the process,
// and with NDEBUG the compiler takes them for granted, which is undefined
// behaviour. Both kinds of build throw std::invalid_argument instead.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(aCondition)                                                \
  ((aCondition) ? static_cast<void>(0) : ::cowslipline::ThrowMalformedToml())
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

#include <tl/expected.hpp>

namespace cowslipline {

struct toml_error
{
  std::size_t mLine = 0; ///< Counted from 1; 0 when it is not known.
  std::string mMessage;
};

/// Parses TOML text. The parser stops at the first error.
tl::expected<toml::table, toml_error>
ParseTomlText(std::string_view aText, std::string_view aFile);

} // namespace cowslipline
