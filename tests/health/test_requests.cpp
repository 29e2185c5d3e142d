#include "tests/health/simulated_fleet.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

fleet_settings
OneService(std::size_t aInstances)
{
  fleet_settings made;
  made.mServices = { { "catalogue", 2, 1, 40ms, true } };
  made.mInstances = aInstances;
  made.mSeed = 9;
  return made;
}

} // namespace

TEST_GROUP(requests){};

// Guards against a request that crashes one target after another because its
// caller repeats it at other instances.
TEST(requests, ARequestThatCrashesTargetsIsQuarantinedEverywhere)
{
  simulated_fleet fleet(OneService(8));
  const auto fingerprint = KeyedDigest16("secret", "body");
  const auto other = KeyedDigest16("secret", "other body");
  const auto isQuarantined = [&](std::size_t aInstance) {
    return fleet.Instance(aInstance).mQuarantine->IsQuarantined(fingerprint);
  };
  fleet.Instance(1).mQuarantine->RecordCrash(fingerprint, "catalogue", "a");
  fleet.Instance(1).mQuarantine->RecordCrash(fingerprint, "catalogue", "a");
  fleet.Advance(100ms);
  CHECK(!isQuarantined(1));
  fleet.Instance(2).mQuarantine->RecordCrash(fingerprint, "catalogue", "b");
  fleet.Advance(100ms);
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    CHECK(isQuarantined(i));
    CHECK(!fleet.Instance(i).mQuarantine->IsQuarantined(other));
  }
  SECTION("the quarantine ends 10 minutes after the last crash")
  {
    fleet.Advance(601s);
    CHECK(!isQuarantined(0));
  }
}

// Guards against retries that multiply the load while all targets fail.
TEST(requests, RetriesStayWithinATenthDuringAFullOutage)
{
  simulated_fleet fleet(OneService(5));
  fleet.Target(0, 0).mFault.mErrors = 1;
  fleet.Target(0, 1).mFault.mErrors = 1;
  fleet.StartTraffic(50);
  fleet.Advance(30s);
  const auto& counts = fleet.Counts();
  CHECK(counts.mFirst > 2000);
  CHECK(counts.mRetries > 0);
  CHECK(counts.mRetries * 10 <= counts.mFirst);
}

TEST_GROUP(admission)
{
  int mEntered[2] = { 0, 0 };
  int mRefused[2] = { 0, 0 };
  // Declared after the counters, so that its tasks end before the counters are
  // destroyed.
  simulated_fleet mFleet{ OneService(1) };
  admission_queue& mQueue = *mFleet.Instance(0).mQueue;

  void Send(organisation_index aOrganisation, duration aTimeout)
  {
    mFleet.Clock().Spawn([this, aOrganisation, aTimeout](yield_context aYield) {
      const auto deadline = mFleet.Clock().Now() + aTimeout;
      if (!mQueue.Enter(0, aOrganisation, deadline, aYield)) {
        ++mRefused[aOrganisation];
        return;
      }
      ++mEntered[aOrganisation];
      mFleet.Clock().SleepFor(50ms, aYield);
      mQueue.Leave(0);
    });
  }
};

// Guards against one organisation that fills the queue with requests, so that
// those of other organisations are refused.
TEST(admission, AFloodDoesNotRefuseOtherOrganisations)
{
  for (int i = 0; i < 200; ++i) {
    Send(0, 2s);
  }
  mFleet.Advance(1ms);
  for (int i = 0; i < 10; ++i) {
    Send(1, 1s);
  }
  mFleet.Advance(1ms);
  CHECK(mQueue.Waiting() <= 64);
  mFleet.Advance(3s);
  LONGS_EQUAL(10, mEntered[1]);
  LONGS_EQUAL(0, mRefused[1]);
  CHECK(mRefused[0] >= 130);
}

// Guards against a request that waits until its deadline although the queue
// ahead of it cannot be served in time.
TEST(admission, ARequestThatCannotStartInTimeIsRefusedAtOnce)
{
  for (int i = 0; i < 8; ++i) {
    Send(0, 1s);
  }
  mFleet.Advance(200ms);
  for (int i = 0; i < 40; ++i) {
    Send(0, 5s);
  }
  Send(1, 5s);
  mFleet.Advance(1ms);
  const auto refused = mRefused[0];
  Send(0, 60ms);
  mFleet.Advance(1ms);
  LONGS_EQUAL(refused + 1, mRefused[0]);
  mFleet.Advance(2s);
  LONGS_EQUAL(1, mEntered[1]);
}

// Guards against a malformed peer message that ends the process by an exception
// of the decoder.
TEST(requests, MalformedMessagesAreRefused)
{
  const auto now = steady_time{ 1h };
  for (const char* text : { "", "x", "\x83\x01\x02", "\x83\x01\x02\x81\x01" }) {
    CHECK(!DecodeEvidence(text, now).has_value());
    CHECK(!DecodeEjections(text).has_value());
  }
  service_evidence evidence;
  evidence.mService = 7;
  evidence.mTargets.push_back({ 9, {} });
  evidence.mTargets[0].mCounts.Record(attempt_outcome::Success, 40ms, now);
  evidence.mTargets[0].mCounts.Record(attempt_outcome::Wrong, 40ms, now);
  const auto read = DecodeEvidence(EncodeEvidence(evidence, now), now);
  CHECK(read.has_value());
  LONGS_EQUAL(1, read->mTargets[0].mCounts.mSuccesses);
  LONGS_EQUAL(1, read->mTargets[0].mCounts.mFailures);
}
