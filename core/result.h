#pragma once

#include "core/error.h"

#include <tl/expected.hpp>

namespace cowslipline {

/// A value or the error that prevented it.
template<typename T>
using result = tl::expected<T, std::error_code>;

inline tl::unexpected<std::error_code>
Fail(errc aError)
{
  return tl::unexpected<std::error_code>(make_error_code(aError));
}

inline tl::unexpected<std::error_code>
Fail(std::error_code aError)
{
  return tl::unexpected<std::error_code>(aError);
}

} // namespace cowslipline
