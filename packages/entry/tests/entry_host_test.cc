#include <doctest/doctest.h>

#include <string>

#include "entry_fixture_p.h"

namespace laurelhall::entry {
namespace {

// Answers with half of what it promised, then closes.
void ServeHalf(const net::RawListener& listener, std::atomic<int>* runs) {
  const net::RawSocket socket = listener.Accept();
  socket.ReadUntil("body");
  ++*runs;
  socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it");
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, idempotent request, hands on the whole answer") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  net::HttpRequest request = Ask("", "body");
  request.method = "PUT";
  request.target += "/photos/7?size=2";
  request.headers.Set("X-Request-Id", "the-callers");
  request.headers.Set("Laurelhall-Secret", "no");
  request.headers.Set("X-Own", "yes");
  request.headers.Set("Connection", "x-bound");
  request.headers.Set("X-Bound", "no");
  const net::HttpResponse response = Send(*m_first, request);
  CHECK(response.status == 200);
  CHECK(response.body == "answer to body");
  const net::HttpRequest seen = m_endpoint.last();
  CHECK(seen.method == "PUT");
  CHECK(seen.target == "/photos/7?size=2");
  CHECK(seen.headers.Get("X-Request-Id") ==
        response.headers.Get("Laurelhall-Request-Id"));
  CHECK(seen.headers.Get("Laurelhall-Organisation") == "insurer-a");
  CHECK(seen.headers.Get("X-Own") == "yes");
  CHECK(seen.headers.Get("Laurelhall-Secret").empty());
  CHECK(m_first->host.Stats().settings_version == 7);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, keyed request resent elsewhere, runs once") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  const net::HttpResponse first = Send(*m_first, Ask("k1", "body"));
  CHECK(first.body == "answer to body");
  CHECK(first.headers.Get("Laurelhall-Replayed").empty());
  const net::HttpResponse again = Send(*m_second, Ask("k1", "body"));
  CHECK(again.body == "answer to body");
  CHECK(again.headers.Get("Content-Type") == "text/plain");
  CHECK(again.headers.Get("Laurelhall-Replayed") == "true");
  CHECK(IsProblem(Send(*m_second, Ask("k1", "other")),
                  ProblemKind::kKeyConflict));
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, answer too large to keep, resend hears gone") {
  policy().kept_answer_bytes = 5;
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  CHECK(Send(*m_first, Ask("k1", "body")).body == "answer to body");
  CHECK(IsProblem(Send(*m_second, Ask("k1", "body")), ProblemKind::kGone));
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, keyed run cut in its answer, outcome unknown") {
  StartHosts();
  const net::RawListener listener;
  std::atomic<int> runs{0};
  std::thread endpoint([&] { ServeHalf(listener, &runs); });
  AddEndpoint("e1", listener.address(), 2);
  const net::HttpResponse cut = Send(*m_first, Ask("k1", "body"));
  endpoint.join();
  CHECK(IsProblem(cut, ProblemKind::kOutcomeUnknown));
  CHECK(ComesTrue([&] { return m_link.Count("abandon") == 1; }));
  AddEndpoint("e2", m_endpoint.address(), 2);
  CHECK(IsProblem(Send(*m_second, Ask("k1", "body")),
                  ProblemKind::kOutcomeUnknown));
  CHECK(runs + m_endpoint.runs() == 1);
  // The cut run may still go on there, so its slot is not lent again.
  CHECK(m_first->host.Stats().services.at("quote").held_slots == 1);
}

TEST_CASE_FIXTURE(
    EntryFixture,
    "EntryHost, idempotent run broken off, is retried elsewhere") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  AddEndpoint("e2", m_other.address(), 2);
  std::atomic<int> runs{0};
  const auto break_first = [&](std::shared_ptr<net::HttpExchange> exchange) {
    if (++runs > 1) {
      exchange->Respond(FakeEndpoint::AnswerTo(exchange->request()));
    }
  };
  m_endpoint.Set(break_first);
  m_other.Set(break_first);
  CHECK(Send(*m_first, Ask("", "body")).body == "answer to body");
  CHECK(m_endpoint.runs() == 1);
  CHECK(m_other.runs() == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, failing endpoint, answers from another one") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  AddEndpoint("e2", m_other.address(), 2);
  std::atomic<int> failures{0};
  const auto fail_first = [&](std::shared_ptr<net::HttpExchange> exchange) {
    net::HttpResponse response = FakeEndpoint::AnswerTo(exchange->request());
    response.status = ++failures == 1 ? 503 : 200;
    exchange->Respond(response);
  };
  m_endpoint.Set(fail_first);
  m_other.Set(fail_first);
  const net::HttpResponse response = Send(*m_first, Ask("", "body"));
  CHECK(response.status == 200);
  CHECK(m_endpoint.runs() == 1);
  CHECK(m_other.runs() == 1);
  CHECK(m_first->host.Stats().retries == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, answer to another request, is never handed on") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  m_endpoint.Set([](std::shared_ptr<net::HttpExchange> exchange) {
    net::HttpResponse response = FakeEndpoint::AnswerTo(exchange->request());
    response.headers.Set("X-Request-Id", "first-1-999");
    exchange->Respond(response);
  });
  CHECK(IsProblem(Send(*m_first, Ask("k1", "body")),
                  ProblemKind::kOutcomeUnknown));
  m_endpoint.Set([](std::shared_ptr<net::HttpExchange> exchange) {
    exchange->Respond({200, {}, "no id at all"});
  });
  CHECK(IsProblem(Send(*m_second, Ask("", "body", Millis(500))),
                  ProblemKind::kFailed));
  CHECK(m_first->host.Stats().mismatches == 1);
}

// An address where nobody listens.
std::string DeadAddress() {
  const net::RawListener listener;
  return listener.address();
}

TEST_CASE_FIXTURE(
    EntryFixture,
    "EntryHost, only endpoint refuses connections, does not spin") {
  StartHosts();
  AddEndpoint("e1", DeadAddress(), 4);
  CHECK(IsProblem(Send(*m_first, Ask("k1", "body", Millis(400))),
                  ProblemKind::kNotRun));
  CHECK(m_link.Count("release") == 1);
  CHECK(m_first->host.Stats().unsent > 2);
  CHECK(m_first->host.Stats().unsent < 20);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, endpoint refuses connections, goes elsewhere") {
  StartHosts();
  const std::string dead = DeadAddress();
  AddEndpoint("e1", dead, 4);
  AddEndpoint("e2", m_endpoint.address(), 4);
  for (int i = 0; i < 8; ++i) {
    const std::string key = "k" + std::to_string(i);
    CHECK(Send(*m_first, Ask(key, "body")).body == "answer to body");
  }
  CHECK(m_endpoint.runs() == 8);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, keyed request without a slot, releases first") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 0);
  const net::HttpResponse refused =
      Send(*m_first, Ask("k1", "body", Millis(300)));
  CHECK(IsProblem(refused, ProblemKind::kNotRun));
  CHECK(m_link.Count("claim") == 1);
  CHECK(m_link.Count("release") == 1);
  m_link.SetSlots("e1", 1);
  const net::HttpResponse again = Send(*m_second, Ask("k1", "body"));
  CHECK(again.body == "answer to body");
  CHECK(again.headers.Get("Laurelhall-Replayed").empty());
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, release not known to hold, outcome unknown") {
  m_init.commit_timeout = Millis(50);
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 0);
  for (const bool is_committed : {false, true}) {
    CAPTURE(is_committed);
    m_link.Lose("release", is_committed);
    const std::string key = is_committed ? "k1" : "k2";
    CHECK(IsProblem(Send(*m_first, Ask(key, "body", Millis(200))),
                    ProblemKind::kOutcomeUnknown));
  }
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, claim not known to hold, writes nothing") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  for (const bool is_committed : {false, true}) {
    CAPTURE(is_committed);
    m_link.Lose("claim", is_committed);
    const std::string key = is_committed ? "k1" : "k2";
    CHECK(IsProblem(Send(*m_first, Ask(key, "body", Millis(200))),
                    ProblemKind::kOutcomeUnknown));
  }
  CHECK(m_endpoint.runs() == 0);
  m_link.LoseNothing();
  // The claim that nobody can answer for is given back, so a resend runs.
  CHECK(ComesTrue([&] { return m_link.Count("release") == 2; }));
  CHECK(Send(*m_second, Ask("k1", "body")).body == "answer to body");
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, completion not known to hold, answers anyway") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  m_link.Lose("complete", false);
  const net::HttpResponse response =
      Send(*m_first, Ask("k1", "body", Millis(300)));
  CHECK(response.body == "answer to body");
  m_link.LoseNothing();
}

// The first run is held back at the endpoint; later ones are answered.
class HeldRunFixture : public EntryFixture {
 protected:
  void Hold() {
    StartHosts();
    AddEndpoint("e1", m_endpoint.address(), 4);
    m_endpoint.Set([this](std::shared_ptr<net::HttpExchange> exchange) {
      if (m_has_first.exchange(true)) {
        exchange->Respond(FakeEndpoint::AnswerTo(exchange->request()));
        return;
      }
      m_held = std::move(exchange);
      m_is_held.Raise();
    });
  }

  void LetGo() {
    m_held->Respond(FakeEndpoint::AnswerTo(m_held->request()));
    m_held = nullptr;
  }

  std::atomic<bool> m_has_first{false};
  std::shared_ptr<net::HttpExchange> m_held;
  Signal m_is_held;
};

TEST_CASE_FIXTURE(HeldRunFixture,
                  "EntryHost, resend while the first runs, waits for it") {
  Hold();
  auto first = SendLater(*m_first, Ask("k1", "body"));
  REQUIRE(m_is_held.Wait());
  auto resend = SendLater(*m_second, Ask("k1", "body"));
  CHECK(ComesTrue([&] { return m_link.Count("claim") >= 3; }));
  LetGo();
  CHECK(first.get().body == "answer to body");
  const net::HttpResponse again = resend.get();
  CHECK(again.body == "answer to body");
  CHECK(again.headers.Get("Laurelhall-Replayed") == "true");
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(HeldRunFixture,
                  "EntryHost, run past its deadline, goes on and is kept") {
  Hold();
  CHECK(IsProblem(Send(*m_first, Ask("k1", "body", Millis(300))),
                  ProblemKind::kInProgress));
  CHECK(IsProblem(Send(*m_second, Ask("k1", "body", Millis(100))),
                  ProblemKind::kInProgress));
  LetGo();
  const net::HttpResponse again = Send(*m_second, Ask("k1", "body"));
  CHECK(again.body == "answer to body");
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(HeldRunFixture,
                  "EntryHost, caller of a keyed run goes, its answer is kept") {
  Hold();
  {
    const net::RawSocket caller =
        net::RawSocket::ConnectTo(m_first->server.address());
    caller.Write(
        "POST /v1/services/quote/requests HTTP/1.1\r\nHost: x\r\n"
        "Laurelhall-Organisation: insurer-a\r\nIdempotency-Key: k1\r\n"
        "Content-Length: 4\r\n\r\nbody");
    REQUIRE(m_is_held.Wait());
  }
  LetGo();
  CHECK(ComesTrue([&] { return m_link.Count("complete") == 1; }));
  const net::HttpResponse again = Send(*m_second, Ask("k1", "body"));
  CHECK(again.headers.Get("Laurelhall-Replayed") == "true");
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, waiting callers go, the queue is free and the "
                  "claim released") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 0);
  const auto queued = [&] {
    return m_first->host.Stats().services.at("quote").queued;
  };
  {
    const std::string head =
        "POST /v1/services/quote/requests HTTP/1.1\r\nHost: x\r\n"
        "Laurelhall-Organisation: insurer-a\r\n";
    const net::RawSocket keyed =
        net::RawSocket::ConnectTo(m_first->server.address());
    const net::RawSocket idempotent =
        net::RawSocket::ConnectTo(m_first->server.address());
    keyed.Write(head + "Idempotency-Key: k1\r\nContent-Length: 0\r\n\r\n");
    idempotent.Write(head + "Content-Length: 0\r\n\r\n");
    REQUIRE(ComesTrue([&] { return queued() == 2; }));
  }
  CHECK(ComesTrue([&] { return queued() == 0; }));
  CHECK(ComesTrue([&] { return m_link.Count("release") == 1; }));
  CHECK(ComesTrue([&] { return m_first->host.Stats().open == 0; }));
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, queue full, refuses at once and claims nothing") {
  policy().queue_max_requests = 1;
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 0);
  auto waiting = SendLater(*m_first, Ask("", "body", Millis(1'000)));
  REQUIRE(ComesTrue(
      [&] { return m_first->host.Stats().services.at("quote").queued == 1; }));
  const net::HttpResponse idempotent = Send(*m_first, Ask("", "body"));
  CHECK(IsProblem(idempotent, ProblemKind::kNotRun));
  CHECK_FALSE(idempotent.headers.Get("Retry-After").empty());
  // Not "not-run": an earlier copy of this key may have run.
  const net::HttpResponse keyed = Send(*m_first, Ask("k1", "body"));
  CHECK(IsProblem(keyed, ProblemKind::kNotAccepted));
  CHECK_FALSE(keyed.headers.Get("Retry-After").empty());
  CHECK(m_link.Count("claim") == 0);
  CHECK(IsProblem(waiting.get(), ProblemKind::kNotRun));
  const auto samples = m_first->host.TakeBurnSamples();
  int64_t overload = 0;
  for (const state::BurnSample& sample : samples) {
    CHECK(sample.service == "quote");
    overload += sample.bad_overload;
  }
  CHECK(overload == 3);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, endpoint leaves, gets nothing more") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  CHECK(Send(*m_first, Ask("", "body")).status == 200);
  // From here on no view says so: the acknowledgement alone must do.
  m_link.SetViewsStopped(true);
  const net::HttpResponse left =
      Announce(FlatBody("e1", m_endpoint.address(), "QUIESCING"));
  CHECK(left.status == 200);
  CHECK(left.body ==
        R"({"accepted":true,"state":"leaving","holds_from_ms":3000})");
  const int runs = m_endpoint.runs();
  CHECK(IsProblem(Send(*m_first, Ask("", "body", Millis(300))),
                  ProblemKind::kNotRun));
  m_link.SetViewsStopped(false);
  CHECK(ComesTrue([&] {
    return m_second->host.Stats().services.at("quote").usable_endpoints == 0;
  }));
  CHECK(IsProblem(Send(*m_second, Ask("", "body")), ProblemKind::kNotRun));
  CHECK(m_endpoint.runs() == runs);
}

TEST_CASE_FIXTURE(EntryFixture, "EntryHost, leaving not committed, says so") {
  m_init.commit_timeout = Millis(50);
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  m_link.Lose("endpoint", false);
  const net::HttpResponse left =
      Announce(FlatBody("e1", m_endpoint.address(), "QUIESCING"));
  CHECK(IsProblem(left, ProblemKind::kNotAccepted));
}

TEST_CASE_FIXTURE(EntryFixture, "EntryHost, view grown old, refuses") {
  m_init.view_bound = Millis(500);
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  m_link.SetViewsStopped(true);
  REQUIRE(ComesTrue([&] { return !m_first->host.Stats().is_view_fresh; }));
  const net::HttpResponse refused = Send(*m_first, Ask("", "body"));
  CHECK(IsProblem(refused, ProblemKind::kNotRun));
  CHECK(refused.body.find("cut off") != std::string::npos);
  CHECK_FALSE(refused.headers.Get("Retry-After").empty());
  CHECK_FALSE(m_first->host.IsHealthy());
  CHECK(m_endpoint.runs() == 0);
}

TEST_CASE_FIXTURE(HeldRunFixture,
                  "EntryHost, drained while one runs, finishes it first") {
  Hold();
  auto running = SendLater(*m_first, Ask("", "body"));
  REQUIRE(m_is_held.Wait());
  Signal drained;
  m_first->host.Drain([&] { drained.Raise(); });
  CHECK_FALSE(m_first->host.IsHealthy());
  CHECK(ComesTrue([&] {
    return IsProblem(Send(*m_first, Ask("", "other", Millis(50))),
                     ProblemKind::kNotRun);
  }));
  LetGo();
  CHECK(running.get().body == "answer to body");
  CHECK(drained.Wait());
}

// Guards against a stop that ends before the leader has received the report of
// the returned slots: they would be kept for the longest run of their service.
TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, drained, ends once the leader has answered the "
                  "return of its slots") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  const auto reported = [&] {
    return m_link.ReportedSlots(m_first->host, "e1");
  };
  REQUIRE(ComesTrue([&] { return reported() == 2; }));
  m_link.SetViewsStopped(true);
  Signal drained;
  std::atomic<int> kept{-1};
  m_first->host.Drain([&] {
    kept = reported();
    drained.Raise();
  });
  REQUIRE(ComesTrue([&] {
    const auto demands = m_first->host.SlotDemands();
    return demands.size() == 1 && demands.front().held == 0;
  }));
  m_link.SetViewsStopped(false);
  REQUIRE(drained.Wait());
  CHECK(kept == 0);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, drained while no leader answers, ends all the "
                  "same") {
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  m_link.SetViewsStopped(true);
  Signal drained;
  m_first->host.Drain([&] { drained.Raise(); });
  CHECK(drained.Wait());
}

TEST_CASE_FIXTURE(EntryFixture, "EntryHost, requests it can't take, says why") {
  policy().max_request_bytes = 10;
  m_config.organisations["insurer-b"] = {
      "insurer-b", 1,
      // Of "secret".
      "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"};
  StartHosts();
  AddEndpoint("e1", m_endpoint.address(), 2);
  const auto with = [](const char* name, const char* value) {
    net::HttpRequest request = Ask("", "body");
    request.headers.Set(name, value);
    return request;
  };
  struct Case {
    net::HttpRequest request;
    ProblemKind kind;
  };
  net::HttpRequest other_service = Ask("", "body");
  other_service.target = "/v1/services/none/requests";
  net::HttpRequest other_path = Ask("", "body");
  other_path.target = "/v1/services/quote/requestsandmore";
  const std::vector<Case> cases{
      {with("Laurelhall-Organisation", "nobody"), ProblemKind::kUnauthorised},
      {with("Laurelhall-Organisation", ""), ProblemKind::kUnauthorised},
      {with("Laurelhall-Organisation", "insurer-b"),
       ProblemKind::kUnauthorised},
      {with("Laurelhall-Priority", "first"), ProblemKind::kBadRequest},
      {with("Laurelhall-Deadline", "-5"), ProblemKind::kBadRequest},
      {with("Laurelhall-Deadline", "soon"), ProblemKind::kBadRequest},
      {with("Idempotency-Key", "two words"), ProblemKind::kBadRequest},
      {other_service, ProblemKind::kUnknownService},
      {other_path, ProblemKind::kNotFound},
      {Ask("", "longer than ten"), ProblemKind::kPayloadTooLarge},
  };
  for (const Case& bad : cases) {
    const net::HttpResponse response = Send(*m_first, bad.request);
    CAPTURE(response.body);
    CHECK(IsProblem(response, bad.kind));
  }
  CHECK(m_endpoint.runs() == 0);
  net::HttpRequest allowed = Ask("", "body");
  allowed.headers.Set("Laurelhall-Organisation", "");
  allowed.headers.Set("Authorization", "Bearer secret");
  CHECK(Send(*m_first, allowed).status == 200);
  CHECK(m_endpoint.last().headers.Get("Laurelhall-Organisation") ==
        "insurer-b");
  CHECK(m_endpoint.last().headers.Get("Authorization").empty());
}

TEST_CASE_FIXTURE(EntryFixture,
                  "EntryHost, nested announcement renewed, is not committed") {
  StartHosts();
  const std::string body =
      R"({"vendor":"nested","runner":{"uid":"e9","app":"quote","generation":3,)"
      R"("listen":{"ip":"127.0.0.1","port":9}},"placement":{"machine":"h1",)"
      R"("zone":"z1"},"capacity":{"parallel":4},"health":{"phase":"serving"}})";
  CHECK(Announce(body).status == 200);
  CHECK(ComesTrue([&] {
    return m_first->host.Stats().services.at("quote").usable_endpoints == 1;
  }));
  CHECK(Announce(body).status == 200);
  CHECK(m_link.Count("endpoint") == 1);
  CHECK(m_link.Count("renewed e9") == 1);
  const net::HttpResponse bad = Announce(
      R"({"vendor":"flat","id":"e1","addr":7,"boot":"x","status":"BUSY"})");
  CHECK(IsProblem(bad, ProblemKind::kBadRequest));
  for (const char* place : {"service", "addr", "boot", "status", "zone"}) {
    CHECK(bad.body.find(std::string(place) + ": ") != std::string::npos);
  }
}

}  // namespace
}  // namespace laurelhall::entry
