#pragma once

#include <boost/json.hpp>
#include <functional>
#include <string>

#include "laurelhall/net/http.h"
#include "options_p.h"

namespace laurelhall::cli {

/// Sends one request; net::Fetch, or a fake in tests.
using FetchFunction =
    std::function<net::HttpResponse(const std::string& address,
                                    const net::HttpRequest& request,
                                    Millis timeout)>;

/// The operators' API as calls that answer or throw a typed error.
class Client {
 public:
  /// @throws UsageError when the token file cannot be read.
  Client(const CommandLine& line,
         FetchFunction fetch,
         std::function<void(Millis)> sleep);

  /// Reads that find no leader are asked again for a few seconds.
  ///
  /// @param body Null for none.
  /// @returns The answer's body.
  /// @throws RefusedError, UsageError (400), NoAnswerError.
  std::string Call(const std::string& method,
                   const std::string& target,
                   const boost::json::value& body) const;

  /// Call(), read as JSON. @throws NoAnswerError also when it is none.
  boost::json::value CallJson(const std::string& method,
                              const std::string& target,
                              const boost::json::value& body = nullptr) const;

 private:
  net::HttpResponse FetchOnce(const net::HttpRequest& request) const;

  std::string m_server;
  std::string m_token;
  Millis m_timeout;
  FetchFunction m_fetch;
  std::function<void(Millis)> m_sleep;
};

/// Writes text so that it is one part of a path or query.
std::string EncodeUrlPart(const std::string& text);

}  // namespace laurelhall::cli
