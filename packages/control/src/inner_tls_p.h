#pragma once

#include <kj/async-io.h>
#include <kj/compat/tls.h>

#include <array>
#include <filesystem>
#include <optional>
#include <string>

#include "laurelhall/control/control_client.h"

namespace laurelhall::control {

/// Who a peer is by its certificate, once that was found to chain to the CA.
struct PeerIdentity {
  std::string name;              ///< The daemon's.
  bool is_control_host = false;  ///< The CA vouches for it as control host.
};

/// A connection whose peer was verified; no identity without TLS.
struct VerifiedStream {
  kj::Own<kj::AsyncIoStream> stream;
  std::optional<PeerIdentity> peer;
};

/// TLS of the inner protocol with verification both ways.
///
/// @remarks The files are looked at for each new connection: it uses what they
///   hold then. While they cannot be read or do not fit together, what was
///   loaded last stays in use. One thread at a time.
class InnerTls {
 public:
  /// @param cluster Control hosts' certificates hold the DNS name
  ///   "control.CLUSTER".
  /// @throws FindingsError when the files cannot be used.
  InnerTls(InnerTlsFiles files, const std::string& cluster);

  ~InnerTls() noexcept;

  InnerTls(const InnerTls&) = delete;
  InnerTls& operator=(const InnerTls&) = delete;

  bool is_on() const { return !m_files.certificate_file.empty(); }

  /// Verifies the control host at the other end; fails when it is none.
  kj::Promise<kj::Own<kj::AsyncIoStream>> Connect(
      kj::Own<kj::AsyncIoStream> stream);

  /// Verifies who has connected; fails without a certificate of the CA.
  kj::Promise<VerifiedStream> Accept(kj::Own<kj::AsyncIoStream> stream);

 private:
  using FileTimes = std::array<std::filesystem::file_time_type, 3>;

  FileTimes ReadTimes() const;
  kj::Own<kj::TlsContext> Load() const;
  void ReloadIfChanged();

  const InnerTlsFiles m_files;
  const std::string m_control_name;
  FileTimes m_tried{};  // Of the files when they were last read.
  kj::Own<kj::TlsContext> m_context;
};

}  // namespace laurelhall::control
