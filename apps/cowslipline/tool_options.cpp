#include "apps/cowslipline/tool_options.h"

#include <charconv>
#include <cstdlib>
#include <sstream>

#include <docopt/docopt.h>

namespace cowslipline {

namespace {

constexpr char kUsage[] =
  R"(cowslipline: checks, publishes and inspects the fleet's configuration.

Usage:
  cowslipline check [--json] FILE...
  cowslipline diff [--store=<host:port>] [--json] FILE...
  cowslipline publish [--store=<host:port>] [--json] [--dry-run]
                      [--expect=<version>] [--author=<text>] [--wait]
                      [--timeout=<s>] [--admin=<host:port>]... FILE...
  cowslipline history [--store=<host:port>] [--json]
  cowslipline rollback [--store=<host:port>] [--json] [--author=<text>] VERSION
  cowslipline keys issue [--store=<host:port>] [--json] [--author=<text>]
                         [--secret-file=<path>] [--id=<id>] ORGANISATION
  cowslipline keys withdraw [--store=<host:port>] [--json] [--author=<text>] ID
  cowslipline keys list [--store=<host:port>] [--json]
  cowslipline status [--json] --admin=<host:port> [--admin=<host:port>]...
  cowslipline explain [--json] [--window=<s>] (--request=<id> | --target=<id> |
                      --organisation=<name>) [LOG...]
  cowslipline --help
  cowslipline --version

LOG is a file with log lines of instances, in any order and with any text before
the JSON; without one they come from standard input.
FILE is a service file in TOML or a folder, which stands for its *.toml files.

Options:
  --store=<host:port>   The platform's key-value service; by default the value
                        of COWSLIPLINE_STORE.
  --admin=<host:port>   Admin address of an instance. May be repeated and may
                        hold several addresses separated by commas.
  --author=<text>       Operator and reason for the history; by default the
                        value of USER.
  --secret-file=<path>  File with the fleet's secret; by default the value of
                        COWSLIPLINE_FLEET_SECRET is the secret.
  --id=<id>             Id of the new key; by default 12 random digits.
  --expect=<version>    Publish only if this version is in force.
  --dry-run             Show what would change and write nothing.
  --wait                Wait until the version is in force at all instances
                        given by --admin.
  --timeout=<s>         Longest wait in seconds [default: 15].
  --request=<id>        Id of a caller's attempt whose cause is looked for.
  --target=<id>         Target whose story is told.
  --organisation=<name> Organisation whose story is told.
  --window=<s>          Seconds around a request that count as its
                        circumstances [default: 5].
  --json                Print JSON.
  --help                Print this text.
  --version             Print the version.

Exit codes:
  0  done
  1  the files have mistakes or the change was refused
  2  wrong command line, unreadable file or missing secret
  3  another publication came first; nothing was changed
  4  the store is unavailable or damaged; nothing was changed
  5  the store's answer was lost; the history shows whether it was published
  6  an instance does not answer, is not ready or lacks the version
)";

using arguments = std::map<std::string, docopt::value>;

const char*
ReadEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

bool
IsSet(const arguments& aArguments, const std::string& aName)
{
  const auto found = aArguments.find(aName);
  return found != aArguments.end() && found->second.isBool() &&
         found->second.asBool();
}

std::string
Text(const arguments& aArguments,
     const std::string& aName,
     const std::string& aFallback = {})
{
  const auto found = aArguments.find(aName);
  return found != aArguments.end() && found->second.isString()
           ? found->second.asString()
           : aFallback;
}

std::vector<std::string>
Texts(const arguments& aArguments, const std::string& aName)
{
  const auto found = aArguments.find(aName);
  return found != aArguments.end() && found->second.isStringList()
           ? found->second.asStringList()
           : std::vector<std::string>();
}

/// False when the text is not a number up to the limit.
bool
ReadNumber(const std::string& aText,
           std::uint64_t aMost,
           std::uint64_t& aNumber)
{
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber);
  return parsed.ec == std::errc() && parsed.ptr == end && !aText.empty() &&
         aNumber <= aMost;
}

std::optional<endpoint>
ReadEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  std::uint64_t port = 0;
  if (colon == std::string::npos || colon == 0 ||
      !ReadNumber(aText.substr(colon + 1), UINT16_MAX, port) || port == 0) {
    return std::nullopt;
  }
  return endpoint{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

tool_command
FindCommand(const arguments& aArguments)
{
  const std::pair<const char*, tool_command> commands[] = {
    { "check", tool_command::Check },
    { "diff", tool_command::Diff },
    { "publish", tool_command::Publish },
    { "history", tool_command::History },
    { "rollback", tool_command::Rollback },
    { "issue", tool_command::KeysIssue },
    { "withdraw", tool_command::KeysWithdraw },
    { "list", tool_command::KeysList },
    { "status", tool_command::Status },
    { "explain", tool_command::Explain },
  };
  for (const auto& [name, command] : commands) {
    if (IsSet(aArguments, name)) {
      return command;
    }
  }
  return tool_command::Help;
}

bool
IsStoreNeeded(tool_command aCommand)
{
  return aCommand != tool_command::Check && aCommand != tool_command::Status &&
         aCommand != tool_command::Explain;
}

/// Reads the options one by one; the first mistake is kept.
class option_reader
{
public:
  explicit option_reader(const arguments& aArguments)
    : mArguments(aArguments)
  {
  }

  tl::expected<tool_options, std::string> Read()
  {
    mOptions.mCommand = FindCommand(mArguments);
    mOptions.mFiles = Texts(mArguments, "FILE");
    mOptions.mOrganisation = Text(mArguments, "ORGANISATION");
    mOptions.mKeyId = Text(mArguments, "ID", Text(mArguments, "--id"));
    mOptions.mIsJson = IsSet(mArguments, "--json");
    mOptions.mIsDryRun = IsSet(mArguments, "--dry-run");
    mOptions.mIsWaiting = IsSet(mArguments, "--wait");
    mOptions.mSecretFile = Text(mArguments, "--secret-file");
    mOptions.mAuthor = Text(mArguments, "--author", ReadEnvironment("USER"));
    ReadSubject();
    ReadNumbers();
    ReadEndpoints();
    CheckKeyId();
    if (!mMistake.empty()) {
      return tl::unexpected<std::string>(mMistake);
    }
    return mOptions;
  }

private:
  void Fail(const std::string& aMistake)
  {
    if (mMistake.empty()) {
      mMistake = aMistake;
    }
  }

  std::uint64_t Number(const std::string& aName, std::uint64_t aMost)
  {
    std::uint64_t number = 0;
    if (!ReadNumber(Text(mArguments, aName), aMost, number)) {
      Fail(aName + ": not a number from 0 to " + std::to_string(aMost));
    }
    return number;
  }

  void ReadSubject()
  {
    if (mOptions.mCommand != tool_command::Explain) {
      return;
    }
    mOptions.mFiles = Texts(mArguments, "LOG");
    const auto request = Text(mArguments, "--request");
    const auto target = Text(mArguments, "--target");
    if (!request.empty()) {
      mOptions.mSubject = request_subject{ request };
    } else if (!target.empty()) {
      mOptions.mSubject = target_subject{ target };
    } else {
      mOptions.mSubject =
        organisation_subject{ Text(mArguments, "--organisation") };
    }
  }

  void ReadNumbers()
  {
    constexpr std::uint64_t kLongestWindow = 86400;
    mOptions.mWindow = std::chrono::seconds(Number("--window", kLongestWindow));
    constexpr std::uint64_t kLongestTimeout = 3600;
    mOptions.mTimeout =
      std::chrono::seconds(Number("--timeout", kLongestTimeout));
    if (mOptions.mCommand == tool_command::Rollback) {
      mOptions.mVersion = Number("VERSION", UINT64_MAX);
    }
    if (!Text(mArguments, "--expect").empty()) {
      mOptions.mExpectedVersion = Number("--expect", UINT64_MAX);
    }
  }

  void ReadEndpoints()
  {
    if (IsStoreNeeded(mOptions.mCommand)) {
      mOptions.mStore = ReadEndpoint(
        Text(mArguments, "--store", ReadEnvironment("COWSLIPLINE_STORE")));
      if (!mOptions.mStore) {
        Fail("--store or COWSLIPLINE_STORE: give HOST:PORT of the key-value "
             "service");
      }
    }
    for (const auto& list : Texts(mArguments, "--admin")) {
      std::istringstream entries(list);
      std::string entry;
      while (std::getline(entries, entry, ',')) {
        const auto admin = ReadEndpoint(entry);
        if (!admin) {
          Fail("--admin: \"" + entry + "\" is not HOST:PORT");
          return;
        }
        mOptions.mAdmin.push_back(*admin);
      }
    }
    if (mOptions.mIsWaiting && mOptions.mAdmin.empty()) {
      Fail("--wait needs the admin addresses of the instances (--admin)");
    }
  }

  void CheckKeyId()
  {
    constexpr std::size_t kLongestKeyId = 40;
    const auto& id = mOptions.mKeyId;
    if (!id.empty() &&
        (!HasForm(id, text_form::Name) || id.size() > kLongestKeyId)) {
      Fail("key id: allowed are 1 to 40 characters: " +
           std::string(DescribeForm(text_form::Name)));
    }
  }

  const arguments& mArguments;
  tool_options mOptions;
  std::string mMistake;
};

tool_options
Message(tool_command aCommand, std::string aText)
{
  tool_options options;
  options.mCommand = aCommand;
  options.mMessage = std::move(aText);
  return options;
}

} // namespace

tl::expected<tool_options, std::string>
ParseToolOptions(const std::vector<std::string>& aArguments)
{
  try {
    return option_reader(
             docopt::docopt_parse(kUsage, aArguments, true, true, false))
      .Read();
  } catch (const docopt::DocoptExitHelp&) {
    return Message(tool_command::Help, kUsage);
  } catch (const docopt::DocoptExitVersion&) {
    return Message(tool_command::Version,
                   "cowslipline " COWSLIPLINE_VERSION "\n");
  } catch (const docopt::DocoptArgumentError& error) {
    return tl::unexpected<std::string>(std::string(error.what()) +
                                       "\nSee cowslipline --help.");
  }
}

} // namespace cowslipline
