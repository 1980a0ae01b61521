#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "laurelhall/net/http.h"

// HTTP/1.1 messages to and from bytes. Beast stands behind it, in one .cc.
namespace laurelhall::net {

/// Why a request was refused before its handler saw it.
struct RequestError {
  int status = 400;
  std::string detail;
};

enum class DecodeStep {
  kNeedMore,  ///< Feed more bytes.
  kHead,      ///< The head is here: AllowBody() before the next Feed().
  kDone,      ///< The whole message is here; the rest of the bytes is left.
  kBad,
};

/// Reads one request, strictly: where two readers could disagree on where it
/// ends, it is refused. Not thread-safe.
class RequestDecoder {
 public:
  explicit RequestDecoder(size_t max_header_bytes);
  ~RequestDecoder();

  /// Takes from the front of `bytes` what belongs to the message.
  DecodeStep Feed(std::string& bytes);

  /// Sets the bound of the body; kBad (413) when its length is over it.
  DecodeStep AllowBody(int64_t max_body_bytes);

  HttpRequest& request();
  const RequestError& error() const;
  bool keep_alive() const;
  bool expects_continue() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Reads one answer. One that ends with its connection cannot be known to be
/// whole, so it is kBad. Not thread-safe.
class ResponseDecoder {
 public:
  /// @param is_head Whether it answers a HEAD request: no body then.
  ResponseDecoder(int64_t max_body_bytes, bool is_head);
  ~ResponseDecoder();

  /// Takes from the front of `bytes` what belongs to the message; kHead is
  /// never given.
  DecodeStep Feed(std::string& bytes);

  HttpResponse& response();
  bool is_too_large() const;
  bool keep_alive() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Writes a head with the right Content-Length; fields about the connection
/// or the length that stand in the message are left out.
std::string EncodeRequestHead(const HttpRequest& request,
                              const std::string& authority);
std::string EncodeResponseHead(const HttpResponse& response, bool keep_alive);

/// An RFC 9457 answer of the server itself.
HttpResponse ProblemResponse(const RequestError& error);

}  // namespace laurelhall::net
