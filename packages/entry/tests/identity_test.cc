#include <doctest/doctest.h>

#include <string>

#include "caller_request_p.h"
#include "entry_fixture_p.h"
#include "laurelhall/net/bearer.h"

namespace laurelhall::entry {
namespace {

// A has a token, B another one, C none.
struct CallerIdentityFixture {
  CallerIdentityFixture() {
    m_config.services["quote"].budget.name = "quote";
    m_config.organisations["a"] = {"a", 1, net::Sha256Hex("token-a")};
    m_config.organisations["b"] = {"b", 1, net::Sha256Hex("token-b")};
    m_config.organisations["c"] = {"c", 1, ""};
  }

  // Whose request it is taken for; "" when it is refused as unauthorised.
  std::string OwnerOf(const std::string& named,
                      const std::string& token,
                      const std::string& certificate = "") const {
    net::HttpRequest request;
    request.client_name = certificate;
    if (!named.empty()) {
      request.headers.Set("Laurelhall-Organisation", named);
    }
    if (!token.empty()) {
      request.headers.Set("Authorization", "Bearer " + token);
    }
    try {
      return ParseCallerRequest({"quote", "/"}, request, m_config,
                                m_allows_unproven)
          .organisation;
    } catch (const RefusedRequest& refused) {
      CHECK(refused.kind() == ProblemKind::kUnauthorised);
      return "";
    }
  }

  model::Config m_config;
  bool m_allows_unproven = true;
};

TEST_CASE_FIXTURE(CallerIdentityFixture,
                  "ParseCallerRequest, token, speaks for its owner alone") {
  CHECK(OwnerOf("", "token-a") == "a");
  CHECK(OwnerOf("a", "token-a") == "a");
  CHECK(OwnerOf("b", "token-a") == "");
  CHECK(OwnerOf("c", "token-a") == "");
  CHECK(OwnerOf("a", "") == "");
  CHECK(OwnerOf("a", "token-x") == "");
  CHECK(OwnerOf("", "") == "");
  CHECK(OwnerOf("c", "") == "c");
}

TEST_CASE_FIXTURE(CallerIdentityFixture,
                  "ParseCallerRequest, client certificate, is the identity") {
  CHECK(OwnerOf("", "", "a") == "a");
  CHECK(OwnerOf("c", "", "c") == "c");
  CHECK(OwnerOf("b", "token-b", "a") == "");
  CHECK(OwnerOf("c", "", "a") == "");
  // The balancer's own certificate names no organisation.
  CHECK(OwnerOf("", "token-b", "balancer") == "b");
}

TEST_CASE_FIXTURE(CallerIdentityFixture,
                  "ParseCallerRequest, off loopback, believes no mere name") {
  m_allows_unproven = false;
  CHECK(OwnerOf("c", "") == "");
  CHECK(OwnerOf("c", "", "c") == "c");
  CHECK(OwnerOf("a", "token-a") == "a");
}

class AnnouncementFixture : public EntryFixture {
 protected:
  net::HttpResponse AnnounceWith(const std::string& token,
                                 const std::string& body) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/endpoints/announce";
    request.headers.Set("Authorization", "Bearer " + token);
    request.body = body;
    return net::Fetch(m_first->server.address(), request, kTestWait);
  }

  const std::string m_up = FlatBody("e1", "127.0.0.1:9", "UP");
  const std::string m_taken =
      R"({"vendor":"nested","runner":{"uid":"e1","app":"quote","generation":3,)"
      R"("listen":{"ip":"127.0.0.1","port":9}},"placement":{"machine":"h1",)"
      R"("zone":"z1"},"capacity":{"parallel":4},"health":{"phase":"serving"}})";
};

TEST_CASE_FIXTURE(AnnouncementFixture,
                  "EntryHost, announcement of a vendor with token, asks it") {
  m_config.vendors["flat"].token_hash = net::Sha256Hex("flat-token");
  StartHosts();
  CHECK(IsProblem(Announce(m_up), ProblemKind::kUnauthorised));
  CHECK(IsProblem(AnnounceWith("other", m_up), ProblemKind::kUnauthorised));
  CHECK(m_link.Count("endpoint") == 0);
  CHECK(AnnounceWith("flat-token", m_up).status == 200);
  CHECK(IsProblem(Announce(FlatBody("e1", "127.0.0.1:9", "QUIESCING")),
                  ProblemKind::kUnauthorised));
  // Another vendor's endpoint can't take it over.
  CHECK(IsProblem(Announce(m_taken), ProblemKind::kAnnouncementRefused));
}

TEST_CASE_FIXTURE(AnnouncementFixture,
                  "EntryHost, vendor without token off loopback, refuses") {
  m_init.allows_unproven = false;
  StartHosts();
  CHECK(IsProblem(Announce(m_up), ProblemKind::kUnauthorised));
  CHECK(m_link.Count("endpoint") == 0);
}

}  // namespace
}  // namespace laurelhall::entry
