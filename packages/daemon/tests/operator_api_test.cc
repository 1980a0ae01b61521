#include "operator_api_p.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <fstream>

#include "laurelhall/base/finding.h"
#include "laurelhall/net/bearer.h"
#include "laurelhall/net/io_threads.h"

namespace laurelhall::daemon {
namespace {

/// Remembers what reaches the leader.
class RecordingLink : public control::ControlLink {
 public:
  void Claim(state::ClaimCommand, SteadyTime, ClaimCallback) override {}
  void Act(state::Command, SteadyTime, ActCallback) override {}
  void Renewed(const std::string&, uint64_t) override {}
  void Start(control::ViewListener&) override {}
  void Operate(std::string,
               std::string,
               std::string body,
               SteadyTime,
               std::function<void(control::OperatorReply)> done) override {
    m_bodies.push_back(std::move(body));
    done({200, "{}"});
  }

  std::vector<std::string> m_bodies;
};

/// An exchange without a socket.
class FakeExchange : public net::HttpExchange {
 public:
  explicit FakeExchange(net::HttpRequest request)
      : m_request(std::move(request)) {}
  const net::HttpRequest& request() const override { return m_request; }
  void Respond(net::HttpResponse response) override {
    m_status = response.status;
  }
  void OnGone(std::function<void()>) override {}

  net::HttpRequest m_request;
  int m_status = 0;
};

class OperatorApiFixture {
 protected:
  OperatorApiFixture() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "laurelhall_opXXXXXX")
            .string();
    m_folder = mkdtemp(pattern.data());
    Write(Line("ana", "ana-token", "") + Line("luis", "luis-token", "viewer"));
  }
  ~OperatorApiFixture() { std::filesystem::remove_all(m_folder); }

  static std::string Line(const std::string& name,
                          const std::string& token,
                          const std::string& role) {
    return name + " " + net::Sha256Hex(token) + " " + role + "\n";
  }

  // Two writes within a tick of the file system's clock look like one.
  void Write(const std::string& text) {
    std::ofstream(file()) << text;
    std::filesystem::last_write_time(
        file(), std::filesystem::file_time_type::clock::now() +
                    std::chrono::seconds(++m_writes));
  }

  int Send(const std::string& method,
           const std::string& target,
           const std::string& token,
           const std::string& certificate = "") {
    net::HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = R"({"operator":"mallory","peer":"x","mode":"refuse"})";
    request.client_name = certificate;
    if (!token.empty()) {
      request.headers.Set("Authorization", "Bearer " + token);
    }
    OperatorApiInit init;
    init.link = &m_link;
    init.timers = &m_threads.timers();
    init.tokens = &*m_tokens;
    init.filter = m_filter;
    init.allows_drills = m_allows_drills;
    OperatorApi api(std::move(init));
    auto exchange = std::make_shared<FakeExchange>(std::move(request));
    api.OnRequest(exchange);
    return exchange->m_status;
  }

  std::string LastName() const {
    return std::string(
        boost::json::parse(m_link.m_bodies.back()).at("operator").as_string());
  }

  std::string file() const { return m_folder / "tokens"; }

  std::filesystem::path m_folder;
  int m_writes = 0;
  net::IoThreads m_threads{1};
  RecordingLink m_link;
  std::shared_ptr<control::ConnectionFilter> m_filter =
      std::make_shared<control::ConnectionFilter>();
  bool m_allows_drills = true;
  std::optional<OperatorTokens> m_tokens;
};

TEST_CASE_FIXTURE(OperatorApiFixture,
                  "OperatorApi, act with a token, carries its owner's name") {
  m_tokens.emplace(file());
  CHECK(Send("POST", "/v1/waves", "ana-token") == 200);
  CHECK(LastName() == "ana");
  Write(Line("ana", "ana-token", "") + "eva - operator\nluis - viewer\n");
  CHECK(Send("POST", "/v1/waves", "", "eva") == 200);
  CHECK(LastName() == "eva");
  CHECK(Send("POST", "/v1/waves", "", "luis") == 403);
  // A certificate of the same authority that names no operator.
  CHECK(Send("POST", "/v1/waves", "ana-token", "insurer-a") == 401);
  CHECK(Send("POST", "/v1/waves", "-") == 401);
  m_tokens.emplace("");
  CHECK(Send("POST", "/v1/waves", "") == 200);
  CHECK(LastName() == "mallory");
}

TEST_CASE_FIXTURE(OperatorApiFixture,
                  "OperatorApi, no token or a viewer's, refuses acts") {
  m_tokens.emplace(file());
  CHECK(Send("POST", "/v1/waves", "") == 401);
  CHECK(Send("GET", "/v1/waves", "other") == 401);
  CHECK(Send("POST", "/v1/waves", "luis-token") == 403);
  CHECK(m_link.m_bodies.empty());
  CHECK(Send("GET", "/v1/waves", "luis-token") == 200);
}

TEST_CASE_FIXTURE(OperatorApiFixture,
                  "OperatorApi, drill, asks for a token and permission") {
  m_tokens.emplace(file());
  CHECK(Send("POST", "/v1/local/cuts", "") == 401);
  CHECK(Send("GET", "/v1/local/cuts", "luis-token") == 403);
  m_allows_drills = false;
  CHECK(Send("POST", "/v1/local/cuts", "ana-token") == 403);
  CHECK(m_filter->Get("x") == control::CutMode::kNone);
  m_allows_drills = true;
  CHECK(Send("POST", "/v1/local/cuts", "ana-token") == 200);
  CHECK(m_filter->Get("x") == control::CutMode::kRefuse);
}

TEST_CASE_FIXTURE(
    OperatorApiFixture,
    "OperatorTokens, file changed, follows it while it is whole") {
  m_tokens.emplace(file());
  const std::string bea = Line("bea", "bea-token", "operator");
  Write(bea);
  CHECK(Send("POST", "/v1/waves", "bea-token") == 200);
  CHECK(Send("POST", "/v1/waves", "ana-token") == 401);
  Write(Line("eva", "eva-token", "") + bea.substr(0, 20));
  CHECK(Send("POST", "/v1/waves", "bea-token") == 200);
  CHECK(Send("POST", "/v1/waves", "eva-token") == 401);
  std::filesystem::remove(file());
  CHECK(Send("POST", "/v1/waves", "bea-token") == 200);
}

TEST_CASE_FIXTURE(OperatorApiFixture,
                  "OperatorTokens, bad lines at the start, names each") {
  Write("ana\nluis " + net::Sha256Hex("x") + " king\n");
  try {
    m_tokens.emplace(file());
    FAIL("took the file");
  } catch (const FindingsError& error) {
    REQUIRE(error.findings().size() == 2);
    CHECK(error.findings()[1].place == file() + ":2");
  }
}

}  // namespace
}  // namespace laurelhall::daemon
