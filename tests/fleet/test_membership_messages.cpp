#include "core/cbor.h"
#include "modules/fleet/membership_messages.h"
#include "tests/story.h"

using namespace cowslipline;

namespace {

digest_message
Sample()
{
  digest_message message;
  message.mRows = { { 7, 3, 19, instance_state::Leaving } };
  message.mSenderAddress = { "127.0.0.1", 8081 };
  message.mSenderZone = "zone-a";
  message.mExtra = { 12, std::chrono::seconds(5) };
  return message;
}

} // namespace

TEST_GROUP(membership_messages){};

// Guards against digests that lose a field on the way.
TEST(membership_messages, RoundTrip)
{
  const auto decoded = DecodeDigest(EncodeDigest(Sample()));
  CHECK(decoded.has_value());
  LONGS_EQUAL(19, decoded->mRows.at(0).mHeartbeat);
  CHECK(decoded->mRows.at(0).mState == instance_state::Leaving);
  LONGS_EQUAL(8081, decoded->mSenderAddress.mPort);
  STRCMP_EQUAL("zone-a", decoded->mSenderZone.c_str());
  LONGS_EQUAL(12, decoded->mExtra.mConfigurationVersion);
  CHECK(decoded->mExtra.mConfirmationAge == std::chrono::seconds(5));
}

// Guards against messages of another form that are half applied, and against
// numbers that overflow when they are converted.
TEST(membership_messages, RefuseOtherForms)
{
  SECTION("a port beyond 65535")
  {
    auto document = *DecodeCbor(EncodeDigest(Sample()));
    document["d"][1] = 70000U;
    CHECK(!DecodeDigest(EncodeCbor(document)).has_value());
  }
  SECTION("an age of millions of years counts as a day")
  {
    auto document = *DecodeCbor(EncodeDigest(Sample()));
    document["a"] = ~std::uint64_t{ 0 };
    CHECK(DecodeDigest(EncodeCbor(document))->mExtra.mConfirmationAge ==
          std::chrono::hours(24));
  }
  SECTION("rows, descriptions and hashes of another type")
  {
    auto document = *DecodeCbor(EncodeDigest(Sample()));
    document["e"][0][2] = "x";
    CHECK(!DecodeDigest(EncodeCbor(document)).has_value());
    CHECK(!DecodeDescriptions(EncodeCbor({ { 1, 2, 3 } })).has_value());
    CHECK(!DecodeHashes(EncodeCbor({ "x" })).has_value());
  }
}
