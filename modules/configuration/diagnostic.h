#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace cowslipline {

/// One mistake in a file that an operator wrote.
struct diagnostic
{
  std::string mFile;
  /// Counted from 1; 0 when the mistake has no line.
  std::size_t mLine = 0;
  std::string mKey;     ///< Such as "route.method"; empty for syntax errors.
  std::string mProblem; ///< What is wrong.
  std::string mHint;    ///< What is allowed.
};

/// All mistakes of the files, in the order of files and lines.
using diagnostics = std::vector<diagnostic>;

template<typename T>
using checked = tl::expected<T, diagnostics>;

/// A named text, such as the content of a service file.
struct text_file
{
  std::string mName;
  std::string mText;
};

/// One line: "file:12: route.method: what is wrong; allowed: ...".
std::string
FormatDiagnostic(const diagnostic& aDiagnostic);

} // namespace cowslipline
