#include "modules/explain/story.h"

#include "modules/explain/request_story.h"
#include "modules/explain/subject_story.h"

#include <algorithm>
#include <map>
#include <set>

namespace cowslipline {

namespace {

// Instances hear of a change within a second.
constexpr std::int64_t kJoinMs = 1000;

/// One line for what many instances report of the same target or peer, such as
/// the avoidance of a target. The first one's instance and fields stay.
std::vector<log_line>
JoinInstances(std::vector<log_line> aEvents)
{
  struct joined
  {
    std::size_t mIndex;
    std::set<std::string> mInstances;
  };
  std::vector<log_line> events;
  std::map<std::string, joined> open;
  for (auto& event : aEvents) {
    const auto subject =
      std::string(event.Field("target")) + std::string(event.Field("peer"));
    const auto key =
      event.mEvent + ' ' + subject + ' ' + std::string(event.Field("outcome"));
    const auto found = open.find(key);
    const bool isSame =
      !subject.empty() && found != open.end() &&
      event.mTimeMs - events[found->second.mIndex].mTimeMs < kJoinMs;
    if (isSame) {
      auto& instances = found->second.mInstances;
      instances.insert(event.mInstance);
      events[found->second.mIndex].mFields["instances"] =
        std::to_string(instances.size());
      continue;
    }
    open[key] = { events.size(), { event.mInstance } };
    events.push_back(std::move(event));
  }
  return events;
}

/// Parses each line and counts what is missing from the logs.
class counting_reader
{
public:
  template<typename Visitor>
  result<void> Read(log_source& aSource, Visitor aVisitor)
  {
    return aSource.ForEachLine([&](std::string_view aText) {
      const auto line = ParseLogLine(aText);
      if (!line) {
        mUnreadable += aText.empty() ? 0 : 1;
        return;
      }
      mDropped += static_cast<std::size_t>(line->Number("dropped"));
      aVisitor(*line);
    });
  }

  void Finish(story& aStory) const
  {
    aStory.mUnreadable = mUnreadable;
    aStory.mDropped = mDropped;
    std::stable_sort(aStory.mEvents.begin(),
                     aStory.mEvents.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mTimeMs < aRight.mTimeMs;
                     });
    aStory.mEvents = JoinInstances(std::move(aStory.mEvents));
  }

private:
  std::size_t mUnreadable = 0;
  std::size_t mDropped = 0;
};

struct subject_visitor
{
  log_source& mSource;
  std::chrono::milliseconds mWindow;

  result<story> operator()(const request_subject& aSubject) const
  {
    request_story collected(aSubject.mId, mWindow);
    const auto found = mSource.ForEachLine(
      [&](std::string_view aText) { collected.FindRequest(aText); });
    if (!found) {
      return Fail(found.error());
    }
    if (!collected.IsFound()) {
      return Fail(errc::NotFound);
    }
    counting_reader reader;
    const auto read = reader.Read(mSource, [&](const log_line& aLine) {
      collected.AddCircumstance(aLine);
    });
    if (!read) {
      return Fail(read.error());
    }
    auto told = collected.Tell();
    reader.Finish(told);
    return told;
  }
  result<story> operator()(const target_subject& aSubject) const
  {
    return ReadOnce(target_story(aSubject.mId));
  }
  result<story> operator()(const organisation_subject& aSubject) const
  {
    return ReadOnce(organisation_story(aSubject.mName));
  }

private:
  template<typename Collected>
  result<story> ReadOnce(Collected aCollected) const
  {
    counting_reader reader;
    const auto read = reader.Read(
      mSource, [&](const log_line& aLine) { aCollected.Add(aLine); });
    if (!read) {
      return Fail(read.error());
    }
    if (!aCollected.IsFound()) {
      return Fail(errc::NotFound);
    }
    auto told = aCollected.Tell();
    reader.Finish(told);
    return told;
  }
};

} // namespace

result<story>
Explain(log_source& aSource,
        const story_subject& aSubject,
        std::chrono::milliseconds aWindow)
{
  return std::visit(subject_visitor{ aSource, aWindow }, aSubject);
}

} // namespace cowslipline
