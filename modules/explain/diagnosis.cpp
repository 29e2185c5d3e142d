#include "modules/explain/diagnosis.h"

#include "modules/explain/request_analyser.h"
#include "modules/explain/subject_analysers.h"

#include <algorithm>
#include <map>
#include <set>

namespace cowslipline {

namespace {

// Instances learn of the same change within a second of each other.
constexpr std::int64_t kMergeWindowMs = 1000;

/// Merges the events that several instances report about the same target or
/// peer, such as the avoidance of a target, into one. The merged event keeps
/// the instance and fields of the first.
std::vector<log_line>
MergeAcrossInstances(std::vector<log_line> aEvents)
{
  struct merged_event
  {
    std::size_t mIndex;
    std::set<std::string> mInstances;
  };
  std::vector<log_line> events;
  std::map<std::string, merged_event> latestByKey;
  for (auto& event : aEvents) {
    const auto subject =
      std::string(event.Field("target")) + std::string(event.Field("peer"));
    const auto key =
      event.mEvent + ' ' + subject + ' ' + std::string(event.Field("outcome"));
    const auto found = latestByKey.find(key);
    const bool isSame =
      !subject.empty() && found != latestByKey.end() &&
      event.mTimeMs - events[found->second.mIndex].mTimeMs < kMergeWindowMs;
    if (isSame) {
      auto& instances = found->second.mInstances;
      instances.insert(event.mInstance);
      events[found->second.mIndex].mFields["instances"] =
        std::to_string(instances.size());
      continue;
    }
    latestByKey[key] = { events.size(), { event.mInstance } };
    events.push_back(std::move(event));
  }
  return events;
}

/// Parses log lines, and counts those that cannot be parsed and those that
/// instances dropped.
class log_reader
{
public:
  template<typename Visitor>
  result<void> Read(log_source& aSource, Visitor aVisitor)
  {
    return aSource.ForEachLine([&](std::string_view aText) {
      const auto line = ParseLogLine(aText);
      if (!line) {
        mUnreadableLines += aText.empty() ? 0 : 1;
        return;
      }
      mDroppedLines += static_cast<std::size_t>(line->Number("dropped"));
      aVisitor(*line);
    });
  }

  /// Adds the counts and sorts and merges the events.
  void Complete(diagnosis& aDiagnosis) const
  {
    aDiagnosis.mUnreadableLines = mUnreadableLines;
    aDiagnosis.mDroppedLines = mDroppedLines;
    std::stable_sort(aDiagnosis.mEvents.begin(),
                     aDiagnosis.mEvents.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mTimeMs < aRight.mTimeMs;
                     });
    aDiagnosis.mEvents = MergeAcrossInstances(std::move(aDiagnosis.mEvents));
  }

private:
  std::size_t mUnreadableLines = 0;
  std::size_t mDroppedLines = 0;
};

/// Runs the analyser for the subject's type.
struct subject_diagnoser
{
  log_source& mSource;
  std::chrono::milliseconds mWindow;

  result<diagnosis> operator()(const request_subject& aSubject) const
  {
    request_analyser analyser(aSubject.mId, mWindow);
    const auto found = mSource.ForEachLine(
      [&](std::string_view aText) { analyser.CollectRequestLine(aText); });
    if (!found) {
      return Fail(found.error());
    }
    if (!analyser.IsFound()) {
      return Fail(errc::NotFound);
    }
    log_reader reader;
    const auto read = reader.Read(
      mSource, [&](const log_line& aLine) { analyser.AddRelatedLine(aLine); });
    if (!read) {
      return Fail(read.error());
    }
    auto diagnosed = analyser.Diagnose();
    reader.Complete(diagnosed);
    return diagnosed;
  }
  result<diagnosis> operator()(const target_subject& aSubject) const
  {
    return AnalyseInOnePass(target_analyser(aSubject.mId));
  }
  result<diagnosis> operator()(const organisation_subject& aSubject) const
  {
    return AnalyseInOnePass(organisation_analyser(aSubject.mName));
  }

private:
  template<typename analyser_type>
  result<diagnosis> AnalyseInOnePass(analyser_type aAnalyser) const
  {
    log_reader reader;
    const auto read = reader.Read(
      mSource, [&](const log_line& aLine) { aAnalyser.Add(aLine); });
    if (!read) {
      return Fail(read.error());
    }
    if (!aAnalyser.IsFound()) {
      return Fail(errc::NotFound);
    }
    auto diagnosed = aAnalyser.Diagnose();
    reader.Complete(diagnosed);
    return diagnosed;
  }
};

} // namespace

result<diagnosis>
Explain(log_source& aSource,
        const diagnosis_subject& aSubject,
        std::chrono::milliseconds aWindow)
{
  return std::visit(subject_diagnoser{ aSource, aWindow }, aSubject);
}

} // namespace cowslipline
