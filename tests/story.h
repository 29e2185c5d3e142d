#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace cowslipline::testing {

/// Path of the sections that are open, printed when a check in them fails.
class section_path
{
public:
  explicit section_path(std::string aName)
  {
    Names().push_back(std::move(aName));
    mFailuresBefore = Failures();
  }
  section_path(const section_path&) = delete;
  section_path& operator=(const section_path&) = delete;
  ~section_path()
  {
    if (Failures() > mFailuresBefore) {
      std::string text;
      for (const auto& name : Names()) {
        text += text.empty() ? name : " / " + name;
      }
      std::fprintf(stderr, "in section: %s\n", text.c_str());
    }
    Names().pop_back();
  }

private:
  static std::vector<std::string>& Names()
  {
    static std::vector<std::string> names;
    return names;
  }
  static std::size_t Failures()
  {
    return UtestShell::getCurrent()->hasFailed() ? 1 : 0;
  }
  std::size_t mFailuresBefore = 0;
};

} // namespace cowslipline::testing

/// A named part of a test. Sections nest; a failure prints the path.
#define SECTION(aName)                                                         \
  if (const ::cowslipline::testing::section_path sectionPath{ aName }; true)
