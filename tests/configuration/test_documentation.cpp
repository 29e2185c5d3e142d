#include "modules/configuration/configuration.h"
#include "modules/configuration/schema.h"
#include "tests/story.h"

#include <fstream>
#include <iterator>

using namespace cowslipline;

namespace {

std::string
ReadPage(const std::string& aName)
{
  std::ifstream file(COWSLIPLINE_SOURCE_FOLDER "/docs/" + aName);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// The text between the heading and the next one.
std::string
ReadSection(const std::string& aPage, const std::string& aHeading)
{
  const auto start = aPage.find("\n### " + aHeading + "\n");
  if (start == std::string::npos) {
    return {};
  }
  const auto end = aPage.find("\n#", start + 1);
  return aPage.substr(start, end - start);
}

std::string
HeadingOf(std::string_view aTable, bool aIsList)
{
  if (aTable.empty()) {
    return "General keys";
  }
  const auto name = "[" + std::string(aTable) + "]";
  return aIsList ? "`[" + name + "]`" : "`" + name + "`";
}

std::string
RowOf(const key_schema& aKey)
{
  return "\n| `" + std::string(aKey.mKey) + "` | " +
         std::string(NameOf(aKey.mKind)) + " | " + std::string(aKey.mUnit) +
         " | " + std::string(aKey.mDefault) + " | " + DescribeAllowed(aKey) +
         " |";
}

std::size_t
CountRows(const std::string& aSection)
{
  std::size_t count = 0;
  for (auto found = aSection.find("\n| `"); found != std::string::npos;
       found = aSection.find("\n| `", found + 1)) {
    ++count;
  }
  return count;
}

void
CheckTables(const std::string& aPage, const file_schema& aSchema)
{
  std::map<std::string, std::size_t> counts;
  for (const auto& key : aSchema) {
    const bool isList =
      &aSchema == &ServiceFileSchema() && key.mTable != "service";
    const auto heading = HeadingOf(key.mTable, isList);
    ++counts[heading];
    const auto row = RowOf(key);
    auto problem = heading;
    problem += " lacks";
    problem += row;
    CHECK_TEXT(ReadSection(aPage, heading).find(row) != std::string::npos,
               problem.c_str());
  }
  for (const auto& [heading, count] : counts) {
    LONGS_EQUAL_TEXT(
      count, CountRows(ReadSection(aPage, heading)), heading.c_str());
  }
}

/// The TOML blocks of a page, without the indentation of lists.
std::vector<std::string>
ReadTomlBlocks(const std::string& aPage)
{
  std::vector<std::string> blocks;
  auto start = aPage.find("```toml\n");
  while (start != std::string::npos) {
    start += std::string("```toml\n").size();
    const auto end = aPage.find("```", start);
    blocks.push_back(aPage.substr(start, end - start));
    start = aPage.find("```toml\n", end);
  }
  return blocks;
}

} // namespace

TEST_GROUP(documentation){};

// Guards against a page that differs from what the program accepts.
TEST(documentation, ThePageListsEveryKeyWithUnitDefaultAndBounds)
{
  const auto page = ReadPage("configuration.md");
  CheckTables(page, ServiceFileSchema());
  CheckTables(page, SettingsSchema());
}

// Guards against examples on the pages that the program refuses.
TEST(documentation, TheFilesOnThePagesAreValid)
{
  for (const auto* name : { "configuration.md", "quickstart.md" }) {
    const auto blocks = ReadTomlBlocks(ReadPage(name));
    LONGS_EQUAL(2, blocks.size());
    CHECK(ParseServiceFiles({ { name, blocks[0] } }).has_value());
    CHECK(LoadSettings(name, blocks[1]).has_value());
  }
}
