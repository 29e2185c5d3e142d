// Before CppUTest, whose macro for "new" breaks placement new.
#include "tests/configuration/http_store_standin.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "apps/cowslipline/file_reader.h"
#include "apps/cowslipline/tool.h"
#include "modules/configuration/configuration.h"
#include "tests/story.h"

using namespace cowslipline;
using cowslipline::testing::http_store_standin;

namespace {

const std::string kExamples = COWSLIPLINE_SOURCE_FOLDER "/examples/";

struct tool_answer
{
  int mCode = 0;
  std::string mOutput;
  std::string mErrors;

  nlohmann::json Json() const
  {
    return nlohmann::json::parse(mOutput, nullptr, false);
  }
};

tool_answer
Run(const std::vector<std::string>& aArguments)
{
  std::ostringstream output;
  std::ostringstream errors;
  const int code = RunTool(aArguments, output, errors);
  return { code, output.str(), errors.str() };
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Each test has its own store; the environment holds the secret.
TEST_GROUP(tool)
{
  void setup() override
  {
    setenv("COWSLIPLINE_STORE", mStore.Address().c_str(), 1);
    setenv("COWSLIPLINE_FLEET_SECRET", "0123456789abcdef", 1);
  }
  void teardown() override
  {
    unsetenv("COWSLIPLINE_STORE");
    unsetenv("COWSLIPLINE_FLEET_SECRET");
  }

  http_store_standin mStore;
};

// Guards against examples that do not work, or that miss a target or a zone.
TEST(tool, TheExamplesAreValid)
{
  const std::pair<const char*, std::pair<int, int>> examples[] = {
    { "hronec", { 31, 5 } }, { "lagoa-viva", { 24, 3 } }
  };
  for (const auto& [name, counts] : examples) {
    const auto answer = Run({ "check", "--json", kExamples + name });
    LONGS_EQUAL(0, answer.mCode);
    LONGS_EQUAL(3, answer.Json()["services"].get<int>());
    LONGS_EQUAL(counts.first, answer.Json()["targets"].get<int>());
    LONGS_EQUAL(counts.second, answer.Json()["routes"].get<int>());
    LONGS_EQUAL(8, answer.Json()["organisations"].get<int>());
  }
}

// Guards against targets that share a port, and against a zone whose failure
// takes more than its share of a service.
TEST(tool, TheExamplesHaveDistinctPortsAndEvenZones)
{
  const auto files =
    ReadServiceFiles({ kExamples + "hronec", kExamples + "lagoa-viva" });
  CHECK(files.has_value());
  std::set<std::uint16_t> ports;
  std::size_t targets = 0;
  for (const auto& file : *files) {
    if (Contains(file.mName, "organisations.toml")) {
      continue;
    }
    const auto content = ParseServiceFiles({ file });
    CHECK(content.has_value());
    std::map<std::string, std::size_t> zones;
    for (const auto& target : content->mServices.at(0).mService.mTargets) {
      ++zones[target.mAvailabilityZone];
      ports.insert(target.mPort);
      ++targets;
    }
    LONGS_EQUAL(3, zones.size());
    for (const auto& zone : zones) {
      const auto size = content->mServices[0].mService.mTargets.size();
      CHECK(zone.second == size / 3 || zone.second == size / 3 + 1);
    }
  }
  LONGS_EQUAL(targets, ports.size());
  LONGS_EQUAL(21'001, *ports.begin());
  LONGS_EQUAL(21'055, *ports.rbegin());
}

// Guards against a step of an operator's day that does not work through the
// store's HTTP protocol.
TEST(tool, AnOperatorsDay)
{
  const auto hronec = kExamples + "hronec";

  SECTION("the first publication")
  {
    const auto diff = Run({ "publish", "--dry-run", "--json", hronec });
    LONGS_EQUAL(0, diff.mCode);
    LONGS_EQUAL(31 + 5 + 8 + 3, diff.Json()["changes"].size());
    CHECK(Contains(Run({ "history" }).mOutput, "nothing was published"));
    const auto first = Run({ "publish", "--json", hronec });
    LONGS_EQUAL(0, first.mCode);
    LONGS_EQUAL(1, first.Json()["version"].get<int>());
    STRCMP_EQUAL("unchanged",
                 Run({ "publish", "--json", hronec })
                   .Json()["outcome"]
                   .get<std::string>()
                   .c_str());
  }
  SECTION("a key is issued, listed and withdrawn")
  {
    const auto issued =
      Run({ "keys", "issue", "--json", "--id=k1", "akvamont" });
    LONGS_EQUAL(0, issued.mCode);
    CHECK(Contains(issued.Json()["key"].get<std::string>(), "cw_k1_"));
    CHECK(Contains(Run({ "keys", "list" }).mOutput, "akvamont  k1\n"));
    LONGS_EQUAL(1, Run({ "keys", "issue", "--id=k1", "akvamont" }).mCode);
    LONGS_EQUAL(1, Run({ "keys", "issue", "nobody" }).mCode);
    LONGS_EQUAL(0, Run({ "keys", "withdraw", "k1" }).mCode);
    LONGS_EQUAL(1, Run({ "keys", "withdraw", "k9" }).mCode);
    LONGS_EQUAL(0, Run({ "publish", hronec }).mCode);
    CHECK(
      Contains(Run({ "keys", "list" }).mOutput, "akvamont  k1  withdrawn\n"));
  }
  SECTION("history and rollback")
  {
    const auto other =
      Run({ "publish", "--json", "--author=bea", kExamples + "lagoa-viva" });
    LONGS_EQUAL(4, other.Json()["version"].get<int>());
    LONGS_EQUAL(3,
                Run({ "publish", "--expect=3", kExamples + "hronec" }).mCode);
    LONGS_EQUAL(0, Run({ "rollback", "3" }).mCode);
    LONGS_EQUAL(1, Run({ "rollback", "77" }).mCode);
    const auto history = Run({ "history", "--json" }).Json()["versions"];
    LONGS_EQUAL(5, history.size());
    STRCMP_EQUAL("bea", history[1]["author"].get<std::string>().c_str());
    const auto diff = Run({ "diff", "--json", hronec });
    LONGS_EQUAL(0, diff.Json()["changes"].size());
  }
}

// Guards against --wait that reports a version that is not in force.
TEST(tool, StatusAndWait)
{
  const auto hronec = kExamples + "hronec";
  const auto admin = "--admin=" + mStore.Address();

  SECTION("ready and in force")
  {
    mStore.mStatus = R"({"instance": "hronec-1", "version": 1, "ready": true})";
    const auto status = Run({ "status", admin });
    LONGS_EQUAL(0, status.mCode);
    CHECK(Contains(status.mOutput, "hronec-1  version 1  ready"));
    const auto published = Run({ "publish", "--wait", admin, hronec });
    LONGS_EQUAL(0, published.mCode);
    CHECK(Contains(published.mErrors, "in force at 1 of 1 instances"));
  }
  SECTION("not in force, not ready or no status")
  {
    mStore.mStatus =
      R"({"instance": "hronec-1", "version": 0, "ready": false})";
    LONGS_EQUAL(6, Run({ "status", admin }).mCode);
    const auto published =
      Run({ "publish", "--wait", "--timeout=0", admin, hronec });
    LONGS_EQUAL(6, published.mCode);
    CHECK(Contains(published.mOutput, "not in force at"));
    for (const auto* text : { "{}", "x", R"({"instance": 1})" }) {
      mStore.mStatus = text;
      CHECK(Contains(Run({ "status", admin }).mOutput, "no answer"));
    }
  }
}

// Guards against a status that is too long for any instance and that the tool
// keeps in memory.
TEST(tool, ALongStatusIsNoAnswer)
{
  const auto admin = "--admin=" + mStore.Address();
  const std::string whole =
    R"({"instance": "hronec-1", "version": 1, "ready": true})";
  mStore.mStatus = std::string(std::size_t(1) << 20, ' ') + whole;
  CHECK(Contains(Run({ "status", admin }).mOutput, "hronec-1  version 1"));
  mStore.mStatus = std::string(std::size_t(48) << 20, ' ') + whole;
  CHECK(Contains(Run({ "status", admin }).mOutput, "no answer"));
}

// Guards against a wrong command line that does something.
TEST(tool, WrongUseHasItsExitCode)
{
  LONGS_EQUAL(0, Run({ "--help" }).mCode);
  LONGS_EQUAL(0, Run({ "--version" }).mCode);
  for (const auto& arguments : std::vector<std::vector<std::string>>{
         {},
         { "chek" },
         { "check" },
         { "check", "/nonexistent.toml" },
         { "rollback", "x" },
         { "status" },
         { "status", "--admin=host" },
         { "publish", "--wait", kExamples + "hronec" },
         { "publish", "--store=host:0", kExamples + "hronec" },
         { "keys", "issue", "--id=K 1", "akvamont" },
         { "keys", "issue", "--secret-file=/nonexistent", "akvamont" } }) {
    LONGS_EQUAL(2, Run(arguments).mCode);
  }
  setenv("COWSLIPLINE_FLEET_SECRET", "short", 1);
  LONGS_EQUAL(2, Run({ "keys", "issue", "akvamont" }).mCode);
  unsetenv("COWSLIPLINE_STORE");
  LONGS_EQUAL(2, Run({ "history" }).mCode);
  // Port 1 of the loopback address refuses connections.
  LONGS_EQUAL(4, Run({ "history", "--store=127.0.0.1:1" }).mCode);

  SECTION("a secret comes from the first line of a file")
  {
    const auto path = std::filesystem::temp_directory_path() /
                      ("cowslipline-secret-" +
                       mStore.Address().substr(mStore.Address().find(':') + 1));
    std::ofstream(path) << "0123456789abcdef\n";
    Run({ "publish", "--store=" + mStore.Address(), kExamples + "hronec" });
    LONGS_EQUAL(0,
                Run({ "keys",
                      "issue",
                      "--store=" + mStore.Address(),
                      "--secret-file=" + path.string(),
                      "akvamont" })
                  .mCode);
    std::filesystem::remove(path);
  }
  SECTION("a file with mistakes prints them")
  {
    const auto path =
      std::filesystem::temp_directory_path() /
      ("cowslipline-mistakes-" +
       mStore.Address().substr(mStore.Address().find(':') + 1) + ".toml");
    std::ofstream(path) << "[service]\nname = \"A\"\n";
    const auto answer = Run({ "check", path.string() });
    std::filesystem::remove(path);
    LONGS_EQUAL(1, answer.mCode);
    CHECK(
      Contains(answer.mOutput, ".toml:2: service.name: \"A\" is not valid"));
  }
}
