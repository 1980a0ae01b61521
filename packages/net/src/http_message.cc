#include "http_message_p.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace laurelhall::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

using Error = boost::system::error_code;

constexpr size_t kMaxAnswerHeaderBytes = 64 << 10;
constexpr int kMaxInterimAnswers = 8;
// Of a request to a worker, so that it is written without growing: about 180.
constexpr size_t kUsualHeadBytes = 256;
// Chunk sizes, extensions and trailers may cost this much more than the body.
constexpr size_t kChunkOverheadBytes = 64 << 10;
constexpr size_t kChunkOverheadFactor = 8;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

bool IsSame(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

// Fields that speak of one connection, or of the length: never passed on.
constexpr std::array<std::string_view, 9> kConnectionFields{
    "Connection", "Keep-Alive",     "Proxy-Connection",
    "TE",         "Trailer",        "Upgrade",
    "Expect",     "Content-Length", "Transfer-Encoding"};

bool IsConnectionField(std::string_view name) {
  return std::any_of(
      kConnectionFields.begin(), kConnectionFields.end(),
      [&](std::string_view known) { return IsSame(name, known); });
}

bool IsFieldText(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 0x7f;
  });
}

template <typename Fields>
HttpHeaders CopyFields(const Fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.fields.emplace_back(std::string(field.name_string()),
                                std::string(field.value()));
  }
  return headers;
}

size_t CountFields(const HttpHeaders& headers, std::string_view name) {
  return static_cast<size_t>(std::count_if(
      headers.fields.begin(), headers.fields.end(),
      [&](const auto& field) { return IsSame(field.first, name); }));
}

// What makes the end of a message doubtful, in words; null when nothing does.
const char* FindLengthFault(const HttpHeaders& headers) {
  const size_t lengths = CountFields(headers, "Content-Length");
  const size_t encodings = CountFields(headers, "Transfer-Encoding");
  const std::string_view length = headers.Get("Content-Length");
  if (lengths > 0 && encodings > 0) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (lengths > 1 || encodings > 1) {
    return "a length given twice";
  }
  if (lengths == 1 &&
      (length.empty() || length.size() > 18 ||
       length.find_first_not_of("0123456789") != std::string_view::npos)) {
    return "a Content-Length that is no number";
  }
  return nullptr;
}

// A folded line continues the value before it; readers disagree on it.
bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

bool IsDotSegment(std::string_view segment) {
  std::string plain;
  for (size_t i = 0; i < segment.size(); ++i) {
    if (IsSame(segment.substr(i, 3), "%2e")) {
      plain += '.';
      i += 2;
    } else {
      plain += segment[i];
    }
  }
  return plain == "." || plain == "..";
}

// Only origin form, without what another reader might resolve differently.
bool IsPlainTarget(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  if (path.empty() || path.front() != '/' ||
      target.find('#') != std::string_view::npos ||
      target.find('\\') != std::string_view::npos) {
    return false;
  }
  size_t start = 1;
  while (start <= path.size()) {
    const size_t end = std::min(path.find('/', start), path.size());
    if (IsDotSegment(path.substr(start, end - start))) {
      return false;
    }
    start = end + 1;
  }
  return std::all_of(target.begin(), target.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

// Feeds a parser until it wants more bytes; true when it is done or wants
// more, false when the message is malformed.
template <typename Parser>
bool PutAll(Parser& parser, std::string& bytes, Error& error) {
  size_t used = 0;
  error = {};
  while (used < bytes.size() && !parser.is_done() && !error) {
    used += parser.put(asio::buffer(bytes.data() + used, bytes.size() - used),
                       error);
  }
  bytes.erase(0, used);
  if (error == http::error::need_more) {
    error = {};
  }
  return !error;
}

}  // namespace

// --- Requests --------------------------------------------------------------

class RequestDecoder::Impl {
 public:
  explicit Impl(size_t max_header_bytes)
      : m_max_header_bytes(max_header_bytes) {
    m_parser.header_limit(static_cast<uint32_t>(max_header_bytes + 4));
    m_parser.body_limit(boost::none);
    m_parser.eager(false);
  }

  DecodeStep Feed(std::string& bytes) {
    return m_has_head ? FeedBody(bytes) : FeedHead(bytes);
  }

  DecodeStep AllowBody(int64_t max_body_bytes) {
    const auto limit =
        static_cast<uint64_t>(std::max<int64_t>(max_body_bytes, 0));
    if (!m_parser.is_done() && m_parser.content_length().value_or(0) > limit) {
      return Refuse(413, "the body is longer than allowed here");
    }
    m_parser.body_limit(limit);
    m_parser.eager(true);
    return m_parser.is_done() ? DecodeStep::kDone : DecodeStep::kNeedMore;
  }

  HttpRequest& request() { return m_request; }
  const RequestError& error() const { return m_error; }
  bool keep_alive() const { return m_parser.get().keep_alive(); }
  bool expects_continue() const {
    return IsSame(m_request.headers.Get("Expect"), "100-continue");
  }

 private:
  DecodeStep Refuse(int status, std::string detail) {
    m_error = {status, std::move(detail)};
    return DecodeStep::kBad;
  }

  DecodeStep FeedHead(std::string& bytes) {
    const size_t end = bytes.find(kHeaderEnd, m_searched);
    if (std::min(end, bytes.size()) > m_max_header_bytes) {
      return Refuse(431, "the header is longer than allowed here");
    }
    if (end == std::string::npos) {
      m_searched = bytes.size() < 3 ? 0 : bytes.size() - 3;
      return DecodeStep::kNeedMore;
    }
    if (HasFoldedLine(std::string_view(bytes).substr(0, end))) {
      return Refuse(400, "a folded header line");
    }
    Error error;
    const size_t used = m_parser.put(
        asio::buffer(bytes.data(), end + kHeaderEnd.size()), error);
    if (error || !m_parser.is_header_done()) {
      return Refuse(400, "a malformed header: " + error.message());
    }
    bytes.erase(0, used);
    m_has_head = true;
    return CheckHead();
  }

  DecodeStep CheckHead() {
    const auto& message = m_parser.get();
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    m_request.headers = CopyFields(message);
    if (const char* fault = FindLengthFault(m_request.headers)) {
      return Refuse(400, fault);
    }
    const std::string_view coding = m_request.headers.Get("Transfer-Encoding");
    if (CountFields(m_request.headers, "Transfer-Encoding") > 0) {
      if (message.version() < 11) {
        return Refuse(400, "Transfer-Encoding before HTTP/1.1");
      }
      if (!IsSame(coding, "chunked")) {
        return Refuse(501, "a transfer coding other than chunked");
      }
    }
    if (!IsPlainTarget(m_request.target)) {
      return Refuse(400, "expected a target that is a plain path");
    }
    const size_t hosts = CountFields(m_request.headers, "Host");
    if (hosts > 1 || (hosts == 0 && message.version() >= 11)) {
      return Refuse(400, "expected one Host field");
    }
    return DecodeStep::kHead;
  }

  DecodeStep FeedBody(std::string& bytes) {
    const size_t before = bytes.size();
    Error error;
    if (!PutAll(m_parser, bytes, error)) {
      return error == http::error::body_limit
                 ? Refuse(413, "the body is longer than allowed here")
                 : Refuse(400, "a malformed body: " + error.message());
    }
    m_body_cost += before - bytes.size();
    const size_t body = m_parser.get().body().size();
    if (m_body_cost > kChunkOverheadBytes + kChunkOverheadFactor * body ||
        (!m_parser.is_done() && bytes.size() > m_max_header_bytes)) {
      return Refuse(400, "chunk extensions or trailers longer than allowed");
    }
    if (!m_parser.is_done()) {
      return DecodeStep::kNeedMore;
    }
    m_request.body = std::move(m_parser.get().body());
    return DecodeStep::kDone;
  }

  size_t m_max_header_bytes;
  size_t m_searched = 0;
  size_t m_body_cost = 0;
  bool m_has_head = false;
  http::request_parser<http::string_body> m_parser;
  HttpRequest m_request;
  RequestError m_error;
};

RequestDecoder::RequestDecoder(size_t max_header_bytes)
    : m_impl(std::make_unique<Impl>(max_header_bytes)) {}
RequestDecoder::~RequestDecoder() = default;

DecodeStep RequestDecoder::Feed(std::string& bytes) {
  return m_impl->Feed(bytes);
}
DecodeStep RequestDecoder::AllowBody(int64_t max_body_bytes) {
  return m_impl->AllowBody(max_body_bytes);
}
HttpRequest& RequestDecoder::request() {
  return m_impl->request();
}
const RequestError& RequestDecoder::error() const {
  return m_impl->error();
}
bool RequestDecoder::keep_alive() const {
  return m_impl->keep_alive();
}
bool RequestDecoder::expects_continue() const {
  return m_impl->expects_continue();
}

// --- Answers ---------------------------------------------------------------

class ResponseDecoder::Impl {
 public:
  Impl(int64_t max_body_bytes, bool is_head)
      : m_max_body_bytes(
            static_cast<uint64_t>(std::max<int64_t>(max_body_bytes, 0))),
        m_is_head(is_head) {
    Restart();
  }

  DecodeStep Feed(std::string& bytes) {
    while (true) {
      const DecodeStep step = FeedOne(bytes);
      if (step != DecodeStep::kHead) {
        return step;
      }
      // An interim answer (1xx): the final one follows.
      if (++m_interim_answers > kMaxInterimAnswers) {
        return DecodeStep::kBad;
      }
      Restart();
    }
  }

  HttpResponse& response() { return m_response; }
  bool is_too_large() const { return m_is_too_large; }
  bool keep_alive() const { return m_parser->keep_alive(); }

 private:
  void Restart() {
    m_parser.emplace();
    m_parser->header_limit(kMaxAnswerHeaderBytes);
    m_parser->body_limit(m_max_body_bytes);
    m_parser->eager(false);
    m_parser->skip(m_is_head);
    m_has_head = false;
  }

  // kHead: a whole interim answer.
  DecodeStep FeedOne(std::string& bytes) {
    Error error;
    bool is_well = true;
    if (!m_has_head) {
      const size_t used = m_parser->put(asio::buffer(bytes), error);
      bytes.erase(0, used);
      if (error == http::error::need_more) {
        return bytes.size() > kMaxAnswerHeaderBytes ? DecodeStep::kBad
                                                    : DecodeStep::kNeedMore;
      }
      is_well = !error && m_parser->is_header_done();
      if (is_well) {
        m_has_head = true;
        m_response.status = static_cast<int>(m_parser->get().result_int());
        m_response.headers = CopyFields(m_parser->get());
        is_well = IsBounded();
        m_parser->eager(true);
      }
    }
    if (is_well && m_response.status / 100 == 1) {
      return m_response.status == 101 ? DecodeStep::kBad : DecodeStep::kHead;
    }
    if (!is_well || !PutAll(*m_parser, bytes, error)) {
      m_is_too_large = error == http::error::body_limit;
      return DecodeStep::kBad;
    }
    if (!m_parser->is_done()) {
      return DecodeStep::kNeedMore;
    }
    m_response.body = std::move(m_parser->get().body());
    return DecodeStep::kDone;
  }

  // Whether its end can be told from the message itself.
  bool IsBounded() const {
    const HttpHeaders& headers = m_response.headers;
    const std::string_view coding = headers.Get("Transfer-Encoding");
    return FindLengthFault(headers) == nullptr &&
           (coding.empty() || IsSame(coding, "chunked")) &&
           !m_parser->need_eof();
  }

  uint64_t m_max_body_bytes;
  bool m_is_head;
  int m_interim_answers = 0;
  bool m_has_head = false;
  bool m_is_too_large = false;
  std::optional<http::response_parser<http::string_body>> m_parser;
  HttpResponse m_response;
};

ResponseDecoder::ResponseDecoder(int64_t max_body_bytes, bool is_head)
    : m_impl(std::make_unique<Impl>(max_body_bytes, is_head)) {}
ResponseDecoder::~ResponseDecoder() = default;

DecodeStep ResponseDecoder::Feed(std::string& bytes) {
  return m_impl->Feed(bytes);
}
HttpResponse& ResponseDecoder::response() {
  return m_impl->response();
}
bool ResponseDecoder::is_too_large() const {
  return m_impl->is_too_large();
}
bool ResponseDecoder::keep_alive() const {
  return m_impl->keep_alive();
}

// --- Heads -----------------------------------------------------------------

namespace {

bool IsSendable(std::string_view name, std::string_view value) {
  return !IsConnectionField(name) && !name.empty() && IsFieldText(name) &&
         name.find_first_of(" :\t") == std::string_view::npos &&
         IsFieldText(value);
}

void AppendField(std::string& head,
                 std::string_view name,
                 std::string_view value) {
  head += name;
  head += ": ";
  head += value;
  head += "\r\n";
}

template <typename Message>
void AddFields(Message& message, const HttpHeaders& headers) {
  for (const auto& [name, value] : headers.fields) {
    if (IsSendable(name, value)) {
      message.insert(name, value);
    }
  }
}

template <bool is_request>
std::string EncodeHead(http::message<is_request, http::empty_body>& message) {
  http::serializer<is_request, http::empty_body> serializer(message);
  std::string head;
  Error error;
  while (!serializer.is_done() && !error) {
    serializer.next(error, [&](Error&, const auto& buffers) {
      for (const auto buffer : beast::buffers_range_ref(buffers)) {
        head.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(beast::buffer_bytes(buffers));
    });
  }
  return head;
}

struct ProblemSlug {
  int status;
  std::string_view slug;
};

constexpr std::array<ProblemSlug, 6> kSlugs{{
    {400, "bad-request"},
    {408, "request-timeout"},
    {413, "payload-too-large"},
    {431, "header-too-large"},
    {501, "not-implemented"},
    {503, "not-accepted"},
}};

// Answers to these have no body and no length field.
bool HasNoBody(int status) {
  return status == 204 || status == 304;
}

}  // namespace

std::string EncodeRequestHead(const HttpRequest& request,
                              const std::string& authority) {
  std::string head;
  head.reserve(kUsualHeadBytes);
  head += request.method;
  head += ' ';
  head += request.target;
  head += " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : request.headers.fields) {
    if (IsSendable(name, value)) {
      AppendField(head, name, value);
      has_host = has_host || IsSame(name, "Host");
    }
  }
  if (!has_host) {
    AppendField(head, "Host", authority);
  }
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    AppendField(head, "Content-Length", std::to_string(request.body.size()));
  }
  head += "\r\n";
  return head;
}

std::string EncodeResponseHead(const HttpResponse& response, bool keep_alive) {
  http::response<http::empty_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  AddFields(message, response.headers);
  if (!HasNoBody(response.status)) {
    message.content_length(response.body.size());
  }
  message.keep_alive(keep_alive);
  return EncodeHead(message);
}

HttpResponse ProblemResponse(const RequestError& error) {
  const auto slug = std::find_if(
      kSlugs.begin(), kSlugs.end(),
      [&](const ProblemSlug& known) { return known.status == error.status; });
  const http::status status =
      http::int_to_status(static_cast<unsigned>(error.status));
  const boost::json::value problem{
      {"type", slug == kSlugs.end() ? "about:blank" : slug->slug},
      {"title", std::string(http::obsolete_reason(status))},
      {"status", error.status},
      {"detail", error.detail}};
  HttpResponse response;
  response.status = error.status;
  response.headers.Set("Content-Type", "application/problem+json");
  if (error.status == 503) {
    response.headers.Set("Retry-After", "1");
  }
  response.body = boost::json::serialize(problem);
  return response;
}

// --- Fields ----------------------------------------------------------------

std::string_view HttpHeaders::Get(std::string_view name) const {
  const auto found = std::find_if(
      fields.begin(), fields.end(),
      [&](const auto& field) { return IsSame(field.first, name); });
  return found == fields.end() ? std::string_view() : found->second;
}

void HttpHeaders::Set(std::string_view name, std::string value) {
  std::erase_if(fields,
                [&](const auto& field) { return IsSame(field.first, name); });
  fields.emplace_back(std::string(name), std::move(value));
}

}  // namespace laurelhall::net
