#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <string>

#include "laurelhall/net/http.h"

namespace laurelhall::net {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using ErrorCode = boost::system::error_code;

/// A byte stream over TCP, with or without TLS, on a strand of its own.
///
/// @remarks All methods are called on strand(), and callbacks come there. A
///   pending operation keeps the stream alive until Close().
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Done = std::function<void(ErrorCode)>;
  using ReadDone = std::function<void(ErrorCode, std::string_view bytes)>;

  virtual ~Stream() = default;

  virtual Strand strand() const = 0;

  /// Makes TLS ready; calls back at once when there is none.
  virtual void Handshake(Done done) = 0;

  /// Reads some bytes, which hold until the next call. One read at a time.
  virtual void Read(ReadDone done) = 0;

  /// Writes both texts in order. One write at a time.
  virtual void Write(std::string head, std::string body, Done done) = 0;

  /// Ends what is pending with an error; what was written is still delivered.
  virtual void Close() = 0;

  /// Closes so that the other side gets nothing more of what was written: bytes
  /// that a broken network holds up are discarded with the connection.
  virtual void Reset() = 0;

  /// Sends the end of the stream, then reads away what still comes for a
  /// short while, so that an answer is not lost to a reset.
  ///
  /// @param closed Called once the stream is closed: the other side has taken
  ///   the answer and closed too, or the while is over.
  virtual void CloseGracefully(std::function<void()> closed) = 0;

  /// Whether bytes have come that no Read() has given out.
  virtual bool HasUnread() const = 0;

  /// Common name of the other side's verified certificate, or empty.
  virtual std::string PeerCommonName() const = 0;
};

/// TLS settings read from their files, to be shared by streams.
class TlsContext {
 public:
  enum class Side { kServer, kClient };

  /// @returns Null when TLS is off.
  /// @throws std::system_error when a file cannot be used.
  /// The context made of the files as they are now, for new connections;
  /// while they cannot be used, the one made last. One thread at a time.
  virtual std::shared_ptr<TlsContext> Renewed() = 0;

  static std::shared_ptr<TlsContext> Make(const TlsInit& init, Side side);
  virtual ~TlsContext() = default;
};

/// @param tls Null for plain TCP.
/// @param peer_ip Client side: the address that a certificate must name.
std::shared_ptr<Stream> MakeStream(boost::asio::ip::tcp::socket socket,
                                   Strand strand,
                                   std::shared_ptr<TlsContext> tls,
                                   const std::string& peer_ip);

/// Reads "ip:port" or "[ip]:port".
/// @throws std::system_error when the text is neither.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address);

/// Writes what ParseAddress() reads.
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace laurelhall::net
