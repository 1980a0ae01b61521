#include "inner_tls_p.h"

#include <kj/vector.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <fstream>
#include <memory>
#include <sstream>
#include <string_view>
#include <utility>

#include "laurelhall/base/finding.h"
#include "laurelhall/base/log.h"

namespace laurelhall::control {

namespace {

constexpr std::string_view kControlSuffix = ".control";
constexpr std::string_view kCertificateEnd = "-----END CERTIFICATE-----";

using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using BioPtr = std::unique_ptr<BIO, decltype(&BIO_free)>;

std::string ReadText(const std::string& file) {
  const std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    throw FindingsError({{file, "expected a readable file"}});
  }
  return text.str();
}

BioPtr MakeBio(const std::string& text) {
  return {BIO_new_mem_buf(text.data(), static_cast<int>(text.size())),
          &BIO_free};
}

// A file that is being written may hold a key and a certificate that do not
// belong together; the TLS library itself would notice in the handshake only.
void CheckPair(const InnerTlsFiles& files,
               const std::string& certificate_text,
               const std::string& key_text) {
  const CertificatePtr certificate(
      PEM_read_bio_X509(MakeBio(certificate_text).get(), nullptr, nullptr,
                        nullptr),
      &X509_free);
  if (!certificate) {
    throw FindingsError({{files.certificate_file, "expected a certificate"}});
  }
  const KeyPtr key(PEM_read_bio_PrivateKey(MakeBio(key_text).get(), nullptr,
                                           nullptr, nullptr),
                   &EVP_PKEY_free);
  if (!key) {
    throw FindingsError({{files.key_file, "expected a private key"}});
  }
  if (X509_check_private_key(certificate.get(), key.get()) != 1) {
    throw FindingsError(
        {{files.key_file, "expected the key of " + files.certificate_file}});
  }
}

// Each authority on its own: a file with the old and the new one is how a
// cluster passes from one to the other.
kj::Array<kj::TlsCertificate> ReadAuthorities(const std::string& file) {
  const std::string text = ReadText(file);
  kj::Vector<kj::TlsCertificate> authorities;
  size_t begin = 0;
  while (true) {
    const size_t end = text.find(kCertificateEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const size_t next = end + kCertificateEnd.size();
    const std::string one = text.substr(begin, next - begin) + "\n";
    authorities.add(kj::StringPtr(one.c_str(), one.size()));
    begin = next;
  }
  if (authorities.empty()) {
    throw FindingsError({{file, "expected a certificate"}});
  }
  return authorities.releaseAsArray();
}

// The TLS library tells a server of the common name alone, so the role is
// written there.
PeerIdentity ToIdentity(std::string common_name) {
  if (!common_name.ends_with(kControlSuffix)) {
    return {std::move(common_name), false};
  }
  common_name.resize(common_name.size() - kControlSuffix.size());
  return {std::move(common_name), true};
}

}  // namespace

InnerTls::InnerTls(InnerTlsFiles files, const std::string& cluster)
    : m_files(std::move(files)), m_control_name("control." + cluster) {
  if (is_on()) {
    m_tried = ReadTimes();
    m_context = Load();
  }
}

InnerTls::~InnerTls() noexcept = default;

kj::Promise<kj::Own<kj::AsyncIoStream>> InnerTls::Connect(
    kj::Own<kj::AsyncIoStream> stream) {
  if (!is_on()) {
    return kj::mv(stream);
  }
  ReloadIfChanged();
  return m_context->wrapClient(
      kj::mv(stream),
      kj::StringPtr(m_control_name.c_str(), m_control_name.size()));
}

kj::Promise<VerifiedStream> InnerTls::Accept(
    kj::Own<kj::AsyncIoStream> stream) {
  if (!is_on()) {
    return VerifiedStream{kj::mv(stream), std::nullopt};
  }
  ReloadIfChanged();
  kj::AuthenticatedStream unverified{kj::mv(stream),
                                     kj::UnknownPeerIdentity::newInstance()};
  return m_context->wrapServer(kj::mv(unverified))
      .then([](kj::AuthenticatedStream&& verified) {
        auto& certificate =
            kj::downcast<kj::TlsPeerIdentity>(*verified.peerIdentity);
        std::string name = certificate.getCommonName().cStr();
        PeerIdentity peer = ToIdentity(std::move(name));
        return VerifiedStream{kj::mv(verified.stream), std::move(peer)};
      });
}

InnerTls::FileTimes InnerTls::ReadTimes() const {
  FileTimes times;
  std::error_code ignored;  // A missing file has a time of its own.
  times[0] =
      std::filesystem::last_write_time(m_files.certificate_file, ignored);
  times[1] = std::filesystem::last_write_time(m_files.key_file, ignored);
  times[2] = std::filesystem::last_write_time(m_files.ca_file, ignored);
  return times;
}

kj::Own<kj::TlsContext> InnerTls::Load() const {
  const std::string certificate = ReadText(m_files.certificate_file);
  const std::string key = ReadText(m_files.key_file);
  CheckPair(m_files, certificate, key);
  try {
    const kj::Array<kj::TlsCertificate> authorities =
        ReadAuthorities(m_files.ca_file);
    const kj::TlsKeypair pair{
        kj::TlsPrivateKey(kj::StringPtr(key.c_str(), key.size())),
        kj::TlsCertificate(
            kj::StringPtr(certificate.c_str(), certificate.size()))};
    kj::TlsContext::Options options;
    options.useSystemTrustStore = false;
    options.verifyClients = true;
    options.minVersion = kj::TlsVersion::TLS_1_2;
    options.trustedCertificates = authorities;
    options.defaultKeypair = pair;
    return kj::heap<kj::TlsContext>(kj::mv(options));
  } catch (const kj::Exception& error) {
    throw FindingsError({{m_files.ca_file, std::string("not usable: ") +
                                               error.getDescription().cStr()}});
  }
}

void InnerTls::ReloadIfChanged() {
  const FileTimes times = ReadTimes();
  if (times == m_tried) {
    return;
  }
  m_tried = times;
  try {
    m_context = Load();
    PartLog("control")->info("The inner keys were read again from {}.",
                             m_files.certificate_file);
  } catch (const FindingsError& findings) {
    PartLog("control")->error("The inner keys stay as they were: {}.",
                              findings.what());
  }
}

}  // namespace laurelhall::control
