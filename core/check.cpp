#include "core/check.h"

#include <cstdio>
#include <cstdlib>

namespace cowslipline {

void
AbortOnInvariant(const char* aCondition,
                 const char* aMessage,
                 const char* aFile,
                 int aLine)
{
  // Standard error as well, since the log may not be configured in tests.
  std::fprintf(stderr,
               "invariant broken: %s (%s) at %s:%d\n",
               aMessage,
               aCondition,
               aFile,
               aLine);
  Log(log_level::Error,
      "invariant_broken",
      { { "message", aMessage },
        { "condition", aCondition },
        { "file", aFile },
        { "line", std::to_string(aLine) } });
  std::abort();
}

} // namespace cowslipline
