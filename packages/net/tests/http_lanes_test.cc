#include "laurelhall/net/http_lanes.h"

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>

#include "net_fixture_p.h"

namespace laurelhall::net {
namespace {

constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class LanesFixture {
 protected:
  std::future<HttpResult> Send(HttpLanes& lanes, const std::string& body) {
    auto done = std::make_shared<std::promise<HttpResult>>();
    m_threads.Post([&lanes, body, done] {
      HttpRequest request;
      request.method = "POST";
      request.body = body;
      lanes.Send(std::move(request), kTestWait, [done](HttpResult result) {
        done->set_value(std::move(result));
      });
    });
    return done->get_future();
  }

  void Close(HttpLanes& lanes) {
    std::promise<void> closed;
    m_threads.Post([&] {
      lanes.Close();
      closed.set_value();
    });
    closed.get_future().get();
  }

  IoThreads m_threads{1};
};

// Failed with one lane: the second request waited for the first one's answer.
TEST_CASE_FIXTURE(LanesFixture,
                  "HttpLanes, an answer is slow, another request goes round") {
  const RawListener listener;
  HttpLanes lanes(m_threads, listener.address(), 2, 1);
  std::future<HttpResult> slow = Send(lanes, "slow");
  const RawSocket first = listener.Accept();
  first.ReadUntil("slow");
  std::future<HttpResult> quick = Send(lanes, "quick");
  const RawSocket second = listener.Accept();
  second.ReadUntil("quick");
  second.Write(kAnswer);
  CHECK(quick.get().response.status == 200);
  first.Write(kAnswer);
  CHECK(slow.get().response.status == 200);
  Close(lanes);
}

TEST_CASE_FIXTURE(LanesFixture,
                  "HttpLanes, all are busy, the next request waits") {
  const RawListener listener;
  HttpLanes lanes(m_threads, listener.address(), 1, 1);
  std::future<HttpResult> one = Send(lanes, "one");
  const RawSocket socket = listener.Accept();
  socket.ReadUntil("one");
  std::future<HttpResult> two = Send(lanes, "two");
  socket.Write(kAnswer);
  CHECK(one.get().response.status == 200);
  socket.ReadUntil("two");
  socket.Write(kAnswer);
  CHECK(two.get().response.status == 200);
  Close(lanes);
}

TEST_CASE_FIXTURE(LanesFixture,
                  "HttpLanes, few wait on the first, no second connection") {
  const RawListener listener;
  HttpLanes lanes(m_threads, listener.address(), 2, 2);
  std::future<HttpResult> one = Send(lanes, "one");
  const RawSocket socket = listener.Accept();
  socket.ReadUntil("one");
  std::future<HttpResult> two = Send(lanes, "two");
  std::future<HttpResult> three = Send(lanes, "three");
  const RawSocket second = listener.Accept();
  second.ReadUntil("three");
  second.Write(kAnswer);
  CHECK(three.get().response.status == 200);
  socket.Write(kAnswer);
  CHECK(one.get().response.status == 200);
  socket.ReadUntil("two");
  socket.Write(kAnswer);
  CHECK(two.get().response.status == 200);
  Close(lanes);
}

TEST_CASE_FIXTURE(LanesFixture,
                  "HttpLanes, closed with a request under way, it fails") {
  const RawListener listener;
  HttpLanes lanes(m_threads, listener.address(), 2, 1);
  std::future<HttpResult> lost = Send(lanes, "lost");
  const RawSocket socket = listener.Accept();
  socket.ReadUntil("lost");
  Close(lanes);
  CHECK(lost.get().failure != HttpFailure::kNone);
}

}  // namespace
}  // namespace laurelhall::net
