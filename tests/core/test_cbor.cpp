#include "core/cbor.h"
#include "tests/story.h"

#include <rapidcheck.h>

using namespace cowslipline;

TEST_GROUP(cbor){};

// Guards against bytes from outside that end the process: the library throws
// for excessive lengths even without exceptions, and recurses for each level.
TEST(cbor, SurvivesHostileBytes)
{
  SECTION("an object of excessive length")
  {
    CHECK(DecodeCbor("\xBB"
                     "aaaaaaaa")
            .error() == errc::MessageMalformed);
  }
  SECTION("arrays nested a million levels deep")
  {
    CHECK(!DecodeCbor(std::string(1'000'000, '\x81')).has_value());
  }
  SECTION("nested strings of indefinite length")
  {
    CHECK(!DecodeCbor(std::string(512UL * 1024, '\x7f')).has_value());
  }
  SECTION("truncated, trailing and empty input")
  {
    const auto bytes = EncodeCbor({ { "a", { 1, 2, 3 } } });
    CHECK(DecodeCbor(bytes).has_value());
    CHECK(!DecodeCbor(bytes.substr(0, bytes.size() - 1)).has_value());
    CHECK(!DecodeCbor(bytes + "x").has_value());
    CHECK(!DecodeCbor("").has_value());
  }
  SECTION("drawn bytes return a value or an error")
  {
    CHECK(rc::check("drawn bytes", [](const std::string& aBytes) {
      // RC_ASSERT evaluates both sides of an expression.
      const auto decoded = DecodeCbor(aBytes);
      const bool isExpected =
        decoded ? true : decoded.error() == errc::MessageMalformed;
      RC_ASSERT(isExpected);
    }));
  }
}
