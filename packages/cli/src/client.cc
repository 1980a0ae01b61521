#include "client_p.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <string_view>
#include <utility>

#include "errors_p.h"

namespace laurelhall::cli {
namespace {

constexpr std::string_view kDigits = "0123456789ABCDEF";
constexpr std::string_view kUnreserved = "-._~";
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// A question that finds no leader is asked again: two elections, one after the
// other, take up to 2.4 s and the search for the new leader half a second.
constexpr Millis kNoLeaderTime{3'000};
constexpr Millis kNoLeaderPause{250};

std::string ReadToken(const std::string& file) {
  if (file.empty()) {
    return "";
  }
  std::ifstream stream(file);
  std::string token;
  if (!std::getline(stream, token) || token.empty()) {
    throw UsageError(file + ": holds no token");
  }
  return token;
}

/// The server's own words on why it refuses.
std::string Detail(const net::HttpResponse& response) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(response.body, error);
  if (!error && value.is_object()) {
    const boost::json::value* detail = value.get_object().if_contains("detail");
    if (detail != nullptr && detail->is_string()) {
      return std::string(detail->get_string());
    }
  }
  return "status " + std::to_string(response.status);
}

void ThrowUnlessDone(const net::HttpResponse& response) {
  if (response.status / 100 == 2) {
    return;
  }
  if (response.status == kBadRequest) {
    throw UsageError(Detail(response));
  }
  if (response.status == kServiceUnavailable ||
      response.status == kGatewayTimeout) {
    throw NoAnswerError(Detail(response));
  }
  throw RefusedError(Detail(response));
}

}  // namespace

Client::Client(const CommandLine& line,
               FetchFunction fetch,
               std::function<void(Millis)> sleep)
    : m_server(line.server),
      m_token(ReadToken(line.token_file)),
      m_timeout(line.timeout),
      m_fetch(std::move(fetch)),
      m_sleep(std::move(sleep)) {}

net::HttpResponse Client::FetchOnce(const net::HttpRequest& request) const {
  try {
    return m_fetch(m_server, request, m_timeout);
  } catch (const std::exception& error) {
    throw NoAnswerError(m_server + ": " + error.what());
  }
}

std::string Client::Call(const std::string& method,
                         const std::string& target,
                         const boost::json::value& body) const {
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  if (!m_token.empty()) {
    request.headers.Set("Authorization", "Bearer " + m_token);
  }
  if (!body.is_null()) {
    request.headers.Set("Content-Type", "application/json");
    request.body = boost::json::serialize(body);
  }
  net::HttpResponse response = FetchOnce(request);
  // Reading changes nothing, so it may be asked again without harm.
  for (Millis waited{0};
       method == "GET" && response.status == kServiceUnavailable &&
       waited < std::min(kNoLeaderTime, m_timeout);
       waited += kNoLeaderPause) {
    m_sleep(kNoLeaderPause);
    response = FetchOnce(request);
  }
  ThrowUnlessDone(response);
  return response.body;
}

boost::json::value Client::CallJson(const std::string& method,
                                    const std::string& target,
                                    const boost::json::value& body) const {
  const std::string text = Call(method, target, body);
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error) {
    throw NoAnswerError("the answer is not JSON: " + error.message());
  }
  return value;
}

std::string EncodeUrlPart(const std::string& text) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kUnreserved.find(c) != kUnreserved.npos) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4];
      encoded += kDigits[byte & 15];
    }
  }
  return encoded;
}

}  // namespace laurelhall::cli
