#pragma once

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

// A relay in front of a stand-in endpoint that cuts answers short.
namespace laurelhall::tools {

/// Relays connections and closes a share of them in the middle of an answer.
///
/// @remarks Thread-safe. Blocking, with two threads a connection; they end
///   with their connections.
class CuttingProxy {
 public:
  /// @param target "ip:port" of the server behind it.
  /// @param share Of the connections, seeded; each is cut within its first
  ///   answer, after a part of the header or of the body.
  CuttingProxy(const std::string& listen,
               const std::string& target,
               double share,
               uint64_t seed)
      : m_acceptor(*m_context, EndpointOf(listen)),
        m_target(EndpointOf(target)),
        m_share(share),
        m_random(seed) {
    m_accepting = std::thread([this] { Accept(); });
  }

  ~CuttingProxy() {
    shutdown(m_acceptor.native_handle(), SHUT_RDWR);  // Ends accept().
    m_accepting.join();
  }

  std::string address() const {
    const auto local = m_acceptor.local_endpoint();
    return local.address().to_string() + ":" + std::to_string(local.port());
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  static constexpr size_t kNeverCut = SIZE_MAX;
  static constexpr size_t kMostBeforeCut = 600;

  struct Link {
    explicit Link(std::shared_ptr<boost::asio::io_context> owner)
        : context(std::move(owner)), near(*context), far(*context) {}
    std::shared_ptr<boost::asio::io_context> context;
    Tcp::socket near;
    Tcp::socket far;
  };

  static Tcp::endpoint EndpointOf(const std::string& address) {
    const size_t colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
  }

  void Accept() {
    while (true) {
      auto link = std::make_shared<Link>(m_context);
      boost::system::error_code error;
      m_acceptor.accept(link->near, error);
      if (error) {
        return;
      }
      link->far.connect(m_target, error);
      if (error) {
        continue;
      }
      const size_t allowed = PickAllowed();
      std::thread([link] {
        Relay(link, link->near, link->far, kNeverCut);
      }).detach();
      std::thread([link, allowed] {
        Relay(link, link->far, link->near, allowed);
      }).detach();
    }
  }

  size_t PickAllowed() {
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<size_t> bytes(1, kMostBeforeCut);
    return share(m_random) < m_share ? bytes(m_random) : kNeverCut;
  }

  static void Relay(const std::shared_ptr<Link>& link,
                    Tcp::socket& from,
                    Tcp::socket& to,
                    size_t allowed) {
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (allowed > 0) {
      const size_t read = from.read_some(boost::asio::buffer(buffer), error);
      if (error) {
        break;
      }
      const size_t passed = std::min(read, allowed);
      boost::asio::write(to, boost::asio::buffer(buffer.data(), passed), error);
      if (error) {
        break;
      }
      allowed -= allowed == kNeverCut ? 0 : passed;
    }
    // Shut down, not closed: the other thread may be using the sockets.
    boost::system::error_code ignored;
    link->near.shutdown(Tcp::socket::shutdown_both, ignored);
    link->far.shutdown(Tcp::socket::shutdown_both, ignored);
  }

  const std::shared_ptr<boost::asio::io_context> m_context =
      std::make_shared<boost::asio::io_context>();
  Tcp::acceptor m_acceptor;
  const Tcp::endpoint m_target;
  const double m_share;
  std::mt19937_64 m_random;  // The accepting thread's alone.
  std::thread m_accepting;
};

}  // namespace laurelhall::tools
