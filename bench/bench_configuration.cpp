// Size, encode and decode time of the configuration at the target size, and
// the bytes that one small change moves.

#include "core/time.h"
#include "modules/configuration/configuration.h"
#include "tests/configuration/generated_content.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <malloc.h>

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

constexpr content_size kTargetSize{ 1900, 30'000, 9400, 100'000, 100'000 };
constexpr int kRepetitions = 5;
constexpr double kKibibyte = 1024.0;
// From the design page.
constexpr double kChangesADay = 2900;
constexpr double kSecondsADay = 86'400;

configuration_head
HeadOf(const encoded_content& aEncoded)
{
  configuration_head head;
  head.mVersion = 2;
  head.mPreviousVersion = 1;
  head.mPublicationId = std::string(32, '0');
  head.mAuthor = "operator";
  head.mChunks = aEncoded.mDigests;
  return head;
}

double
Milliseconds(const std::function<void()>& aFunction)
{
  const auto start = ReadBootClock();
  aFunction();
  return static_cast<double>((ReadBootClock() - start).count()) / 1000.0;
}

double
MedianMilliseconds(const std::function<void()>& aFunction)
{
  std::vector<double> times;
  times.reserve(kRepetitions);
  for (int i = 0; i < kRepetitions; ++i) {
    times.push_back(Milliseconds(aFunction));
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

/// Bytes that the process has allocated.
double
AllocatedMebibytes()
{
  return static_cast<double>(mallinfo2().uordblks) / kKibibyte / kKibibyte;
}

std::size_t
TotalBytes(const encoded_content& aEncoded)
{
  std::size_t bytes = 0;
  for (const auto& [digest, chunk] : aEncoded.mChunks) {
    bytes += chunk.size();
  }
  return bytes;
}

void
ReportMoved(const char* aChange,
            const encoded_content& aBefore,
            const configuration_content& aAfter)
{
  const auto after = EncodeContent(aAfter);
  std::size_t chunks = 0;
  std::size_t bytes = 0;
  for (const auto& [digest, chunk] : after->mChunks) {
    if (aBefore.mChunks.count(digest) == 0) {
      ++chunks;
      bytes += chunk.size();
    }
  }
  const auto head = EncodeHead(HeadOf(*after)).size();
  const auto moved = static_cast<double>(bytes + head);
  std::printf("%-28s chunks %zu, %.1f KiB and head %.1f KiB; %.2f KiB/s at "
              "%.0f changes a day\n",
              aChange,
              chunks,
              static_cast<double>(bytes) / kKibibyte,
              static_cast<double>(head) / kKibibyte,
              moved / kKibibyte * kChangesADay / kSecondsADay,
              kChangesADay);
}

void
ReportChanges(const configuration_content& aContent,
              const encoded_content& aEncoded)
{
  auto changed = aContent;
  changed.mOrganisations[5000].mRate += 1;
  ReportMoved("rate of one organisation", aEncoded, changed);
  changed = aContent;
  changed.mKeys[5000].mIsWithdrawn = true;
  ReportMoved("one key withdrawn", aEncoded, changed);
  changed = aContent;
  changed.mKeys.push_back(MakeKey(kTargetSize.mKeys, 1000));
  ReportMoved("one key issued", aEncoded, changed);
  changed = aContent;
  changed.mServices[500].mService.mTargets[0].mIsDraining = true;
  ReportMoved("one target draining", aEncoded, changed);
}

} // namespace

int
main()
{
  const auto content = MakeContent(kTargetSize);
  const auto encoded = EncodeContent(content);
  if (!encoded) {
    std::fprintf(stderr, "encoding failed\n");
    return 1;
  }
  std::size_t largest = 0;
  for (const auto& [digest, chunk] : encoded->mChunks) {
    largest = std::max(largest, chunk.size());
  }
  const auto head = HeadOf(*encoded);
  std::printf("content: %zu chunks, %.1f MiB, largest chunk %.1f KiB, head "
              "%.1f KiB\n",
              encoded->mChunks.size(),
              static_cast<double>(TotalBytes(*encoded)) / kKibibyte / kKibibyte,
              static_cast<double>(largest) / kKibibyte,
              static_cast<double>(EncodeHead(head).size()) / kKibibyte);
  ReportChanges(content, *encoded);

  const auto before = AllocatedMebibytes();
  const auto decoded = DecodeSnapshot(head, encoded->mChunks);
  std::printf("memory of one snapshot: %.1f MiB\n",
              AllocatedMebibytes() - before);
  std::printf(
    "decode: %.0f ms (median of %d)\n",
    MedianMilliseconds([&] { DecodeSnapshot(head, encoded->mChunks); }),
    kRepetitions);
  std::printf("encode: %.0f ms (median of %d)\n",
              MedianMilliseconds([&] { EncodeContent(content); }),
              kRepetitions);
  return decoded ? 0 : 1;
}
