#include <array>
#include <cstdio>

#include "core/random.h"
#include "modules/gateway/buffered_reader.h"
#include "tests/gateway/loopback.h"
#include "tests/story.h"

#include <sys/socket.h>

using namespace cowslipline;
using namespace cowslipline::testing;

namespace {

constexpr std::size_t kLimit = 1 << 20;

std::string
RandomBody(random_source& aRandom)
{
  std::string body(aRandom.Below(5000), '\0');
  for (auto& byte : body) {
    byte = static_cast<char>(aRandom.Below(256));
  }
  return body;
}

/// A message with its body in chunks of random sizes, or with a length.
std::string
Encode(const std::string& aBody, random_source& aRandom)
{
  if (aRandom.Below(2) == 0) {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }
  std::string text =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::array<char, 32> size{};
  for (std::size_t done = 0; done < aBody.size();) {
    const auto chunk = aBody.substr(done, 1 + aRandom.Below(64));
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
    text.append(size.data()).append(chunk).append("\r\n");
    done += chunk.size();
  }
  return text + "0\r\n\r\n";
}

} // namespace

TEST_GROUP(buffered_reader){};

// Guards against messages that lose their borders when they arrive in pieces
// or several at a time.
TEST(buffered_reader, KeepsTheBordersOfMessages)
{
  random_source random(7);
  std::array<int, 2> pair{};
  LONGS_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()));
  test_socket receiving(pair[0]);
  test_socket sending(pair[1]);
  std::vector<std::string> bodies;
  std::string stream;
  for (int i = 0; i < 200; ++i) {
    bodies.push_back(RandomBody(random));
    stream += Encode(bodies.back(), random);
  }
  std::thread sender([&] {
    for (std::size_t done = 0; done < stream.size();) {
      const auto piece = stream.substr(done, 1 + random.Below(3000));
      sending.Send(piece);
      done += piece.size();
    }
  });
  body_budget budget(kLimit);
  timed_socket socket(receiving.Descriptor());
  socket.SetDeadline(ReadBootClock() + std::chrono::seconds(10));
  buffered_reader reader(socket);
  for (const auto& expected : bodies) {
    const auto bytes = reader.ReadHead(kLimit);
    CHECK(bytes.has_value());
    const auto head = ParseRequestHead(*bytes, {});
    CHECK(head.has_value());
    body_buffer body(budget, kLimit);
    CHECK(!reader.ReadBody(head->mFraming, body));
    CHECK(body.Text() == expected);
  }
  sender.join();
  CHECK(!reader.HasBuffered());
  LONGS_EQUAL(0, budget.Taken());
}
