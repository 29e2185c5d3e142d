#pragma once

#include "modules/explain/diagnosis.h"
#include "modules/explain/frequency_table.h"

namespace cowslipline {

/// Diagnoses a target: collects the changes of its registration and use, and
/// counts its sends by outcome in each second.
class target_analyser
{
public:
  explicit target_analyser(std::string aId)
    : mId(std::move(aId))
  {
  }

  void Add(const log_line& aLine);
  bool IsFound() const { return !mEvents.empty() || !mSeconds.empty(); }
  diagnosis Diagnose() const;

private:
  std::string mId;
  std::vector<log_line> mEvents;
  std::map<std::int64_t, frequency_table> mSeconds; ///< By Unix time in s.
};

/// Diagnoses the requests of an organisation: counts them in each second by
/// cause and by the instance that decided on the quota, and collects the events
/// about quota owners that did not reply.
class organisation_analyser
{
public:
  explicit organisation_analyser(std::string aName)
    : mName(std::move(aName))
  {
  }

  void Add(const log_line& aLine);
  bool IsFound() const { return !mEvents.empty() || !mSeconds.empty(); }
  diagnosis Diagnose() const;

private:
  struct second
  {
    frequency_table mCauses;
    frequency_table mQuotaDeciders;
  };

  std::string mName;
  std::vector<log_line> mEvents;
  std::map<std::int64_t, second> mSeconds; ///< By Unix time in s.
};

} // namespace cowslipline
