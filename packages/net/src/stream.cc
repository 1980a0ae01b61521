#include "stream_p.h"

#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <filesystem>
#include <utility>

#include "laurelhall/base/log.h"

namespace laurelhall::net {

namespace asio = boost::asio;
namespace ssl = boost::asio::ssl;
using asio::ip::tcp;

namespace {

constexpr size_t kReadBytes = 16 << 10;
constexpr std::chrono::seconds kLingerTime{1};

using FileTimes = std::array<std::filesystem::file_time_type, 4>;

FileTimes ReadTimes(const TlsInit& init) {
  const std::string* files[] = {&init.certificate_file, &init.key_file,
                                &init.client_ca_file, &init.ca_file};
  FileTimes times;
  for (size_t i = 0; i < times.size(); ++i) {
    std::error_code ignored;  // A missing file has a time of its own.
    times[i] = std::filesystem::last_write_time(*files[i], ignored);
  }
  return times;
}

class SslContext : public TlsContext,
                   public std::enable_shared_from_this<SslContext> {
 public:
  explicit SslContext(Side side)
      : m_side(side),
        m_context(side == Side::kServer ? ssl::context::tls_server
                                        : ssl::context::tls_client) {
    m_context.set_options(ssl::context::default_workarounds |
                          ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                          ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  }

  std::shared_ptr<TlsContext> Renewed() override {
    const FileTimes times = ReadTimes(m_init);
    if (times == m_tried) {
      return shared_from_this();
    }
    m_tried = times;
    try {
      auto renewed = std::make_shared<SslContext>(m_side);
      renewed->Load(m_init);
      PartLog("net")->info("Keys were read again from {}.",
                           m_init.certificate_file);
      return renewed;
    } catch (const boost::system::system_error& error) {
      PartLog("net")->error("Keys of {} stay as they were: {}.",
                            m_init.certificate_file, error.what());
      return shared_from_this();
    }
  }

  void Load(const TlsInit& init) {
    m_init = init;
    m_tried = ReadTimes(init);
    if (!init.certificate_file.empty()) {
      m_context.use_certificate_chain_file(init.certificate_file);
      m_context.use_private_key_file(init.key_file, ssl::context::pem);
    }
    const std::string& trusted =
        m_side == Side::kServer ? init.client_ca_file : init.ca_file;
    if (!trusted.empty()) {
      m_context.load_verify_file(trusted);
      m_context.set_verify_mode(ssl::verify_peer);
    }
  }

  Side side() const { return m_side; }
  ssl::context& context() { return m_context; }

 private:
  Side m_side;
  ssl::context m_context;
  TlsInit m_init;
  FileTimes m_tried{};  // Of the files when they were last read.
};

// The one body of both kinds of stream; `Layer` is the socket or TLS over it.
template <typename Layer>
class StreamOver : public Stream {
 public:
  template <typename... Args>
  explicit StreamOver(Strand strand, Args&&... args)
      : m_strand(std::move(strand)),
        m_layer(std::forward<Args>(args)...),
        m_linger(m_strand) {}

  Strand strand() const override { return m_strand; }

  void Read(ReadDone done) override {
    m_layer.async_read_some(
        asio::buffer(m_read_buffer),
        asio::bind_executor(
            m_strand, [self = shared_from_this(), this, done = std::move(done)](
                          ErrorCode error, size_t count) {
              done(error, std::string_view(m_read_buffer.data(), count));
            }));
  }

  void Write(std::string head, std::string body, Done done) override {
    m_head = std::move(head);
    m_body = std::move(body);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head),
                                                    asio::buffer(m_body)};
    asio::async_write(
        m_layer, buffers,
        asio::bind_executor(
            m_strand, [self = shared_from_this(), this, done = std::move(done)](
                          ErrorCode error, size_t) {
              m_body = std::string();
              done(error);
            }));
  }

  void Close() override {
    ErrorCode ignored;
    socket().close(ignored);
    m_linger.cancel();
    if (const auto closed = std::exchange(m_on_closed, nullptr)) {
      closed();
    }
  }

  void Reset() override {
    if (socket().is_open()) {
      ErrorCode error;
      socket().set_option(asio::socket_base::linger(true, 0), error);
      if (error) {
        PartLog("net")->warn("A connection is closed, but not reset: {}.",
                             error.message());
      }
    }
    Close();
  }

  void CloseGracefully(std::function<void()> closed) override {
    m_on_closed = std::move(closed);
    ErrorCode ignored;
    socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_linger.expires_after(kLingerTime);
    m_linger.async_wait([self = shared_from_this(), this](ErrorCode error) {
      if (!error) {
        Close();
      }
    });
    ReadAway();
  }

  bool HasUnread() const override {
    ErrorCode closed;  // Of a closed socket: nothing comes any more.
    return socket().available(closed) > 0;
  }

 protected:
  const tcp::socket& socket() const {
    if constexpr (std::is_same_v<Layer, tcp::socket>) {
      return m_layer;
    } else {
      return m_layer.next_layer();
    }
  }

  tcp::socket& socket() {
    return const_cast<tcp::socket&>(std::as_const(*this).socket());
  }

  Layer& layer() { return m_layer; }
  const Layer& layer() const { return m_layer; }

 private:
  void ReadAway() {
    socket().async_read_some(
        asio::buffer(m_linger_buffer),
        asio::bind_executor(m_strand, [self = shared_from_this(), this](
                                          ErrorCode error, size_t) {
          if (error) {
            Close();
          } else {
            ReadAway();
          }
        }));
  }

  Strand m_strand;
  Layer m_layer;
  asio::steady_timer m_linger;
  std::function<void()> m_on_closed;
  std::array<char, kReadBytes> m_read_buffer;
  std::array<char, 512> m_linger_buffer;
  std::string m_head;
  std::string m_body;
};

class PlainStream final : public StreamOver<tcp::socket> {
 public:
  using StreamOver::StreamOver;

  void Handshake(Done done) override { done(ErrorCode()); }
  std::string PeerCommonName() const override { return {}; }
};

class TlsStream final : public StreamOver<ssl::stream<tcp::socket>> {
 public:
  TlsStream(Strand strand,
            tcp::socket socket,
            std::shared_ptr<SslContext> context,
            const std::string& peer_ip)
      : StreamOver(std::move(strand), std::move(socket), context->context()),
        m_context(std::move(context)) {
    if (m_context->side() == TlsContext::Side::kClient) {
      layer().set_verify_callback(ssl::host_name_verification(peer_ip));
    }
  }

  void Handshake(Done done) override {
    const auto side = m_context->side() == TlsContext::Side::kServer
                          ? ssl::stream_base::server
                          : ssl::stream_base::client;
    layer().async_handshake(
        side, asio::bind_executor(
                  strand(), [self = shared_from_this(), done = std::move(done)](
                                ErrorCode error) { done(error); }));
  }

  std::string PeerCommonName() const override {
    // Asio's native_handle() is not const, though reading changes nothing.
    SSL* handle = const_cast<TlsStream*>(this)->layer().native_handle();
    X509* certificate = SSL_get1_peer_certificate(handle);
    if (certificate == nullptr) {
      return {};
    }
    std::array<char, 256> name{};
    const int length =
        X509_NAME_get_text_by_NID(X509_get_subject_name(certificate),
                                  NID_commonName, name.data(), name.size());
    X509_free(certificate);
    return length > 0 ? std::string(name.data(), static_cast<size_t>(length))
                      : std::string();
  }

 private:
  std::shared_ptr<SslContext> m_context;
};

}  // namespace

std::shared_ptr<TlsContext> TlsContext::Make(const TlsInit& init, Side side) {
  if (!init.is_on()) {
    return nullptr;
  }
  auto made = std::make_shared<SslContext>(side);
  made->Load(init);
  return made;
}

std::shared_ptr<Stream> MakeStream(tcp::socket socket,
                                   Strand strand,
                                   std::shared_ptr<TlsContext> tls,
                                   const std::string& peer_ip) {
  ErrorCode ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (tls == nullptr) {
    return std::make_shared<PlainStream>(std::move(strand), std::move(socket));
  }
  return std::make_shared<TlsStream>(
      std::move(strand), std::move(socket),
      std::static_pointer_cast<SslContext>(std::move(tls)), peer_ip);
}

tcp::endpoint ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  const auto invalid = std::make_error_code(std::errc::invalid_argument);
  if (colon == std::string::npos) {
    throw std::system_error(invalid, "expected ip:port, got " + address);
  }
  std::string ip = address.substr(0, colon);
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [next, error] =
      std::from_chars(address.data() + colon + 1, end, port);
  ErrorCode bad_ip;
  const auto parsed = asio::ip::make_address(ip, bad_ip);
  if (error != std::errc() || next != end || bad_ip) {
    throw std::system_error(invalid, "expected ip:port, got " + address);
  }
  return {parsed, port};
}

std::string FormatAddress(const tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const std::string host = endpoint.address().is_v6() ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(endpoint.port());
}

}  // namespace laurelhall::net
