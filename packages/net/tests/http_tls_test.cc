#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include "net_fixture_p.h"

namespace laurelhall::net {
namespace {

// A certificate for 127.0.0.1 that signed itself, in a folder of its own.
class CertificateFiles {
 public:
  explicit CertificateFiles(const std::string& common_name) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "net_testXXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    EVP_PKEY* key = EVP_RSA_gen(2048);
    X509* certificate = Make(key, common_name);
    FILE* key_out = std::fopen(key_file().c_str(), "w");
    PEM_write_PrivateKey(key_out, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(key_out);
    FILE* certificate_out = std::fopen(certificate_file().c_str(), "w");
    PEM_write_X509(certificate_out, certificate);
    std::fclose(certificate_out);
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  CertificateFiles(const CertificateFiles&) = delete;
  CertificateFiles& operator=(const CertificateFiles&) = delete;
  ~CertificateFiles() { std::filesystem::remove_all(m_folder); }

  std::string key_file() const { return m_folder + "/key.pem"; }
  std::string certificate_file() const { return m_folder + "/cert.pem"; }

 private:
  static X509* Make(EVP_PKEY* key, const std::string& common_name) {
    X509* made = X509_new();
    X509_set_version(made, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(made), 1);
    X509_gmtime_adj(X509_getm_notBefore(made), -3'600);
    X509_gmtime_adj(X509_getm_notAfter(made), 3'600);
    X509_set_pubkey(made, key);
    X509_NAME* name = X509_get_subject_name(made);
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(common_name.c_str()), -1, -1, 0);
    X509_set_issuer_name(made, name);
    X509_EXTENSION* address = X509V3_EXT_conf_nid(
        nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
    X509_add_ext(made, address, -1);
    X509_EXTENSION_free(address);
    X509_sign(made, key, EVP_sha256());
    return made;
  }

  std::string m_folder;
};

class TlsFixture {
 protected:
  HttpServerInit Init() const {
    HttpServerInit init;
    init.tls.certificate_file = m_server_files.certificate_file();
    init.tls.key_file = m_server_files.key_file();
    init.tls.client_ca_file = m_client_files.certificate_file();
    return init;
  }

  std::string Ask(const TlsInit& tls) {
    return Fetch(m_server.address(), {}, kTestWait, tls).body;
  }

  CertificateFiles m_server_files{"entry-host"};
  CertificateFiles m_client_files{"operator-1"};
  IoThreads m_threads{2};
  FunctionHandler m_handler{[](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond({200, {}, "name=" + exchange->request().client_name});
  }};
  HttpServer m_server{m_threads, Init(), m_handler};
};

TEST_CASE_FIXTURE(TlsFixture,
                  "HttpServer, client certificate, names the client") {
  TlsInit tls;
  tls.ca_file = m_server_files.certificate_file();
  CHECK(Ask(tls) == "name=");
  tls.certificate_file = m_client_files.certificate_file();
  tls.key_file = m_client_files.key_file();
  CHECK(Ask(tls) == "name=operator-1");
}

TEST_CASE_FIXTURE(TlsFixture, "HttpServer, certificate not trusted, refuses") {
  TlsInit tls;
  tls.ca_file = m_client_files.certificate_file();
  CHECK_THROWS_AS(Ask(tls), std::runtime_error);
  tls.ca_file = m_server_files.certificate_file();
  tls.certificate_file = m_server_files.certificate_file();
  tls.key_file = m_server_files.key_file();
  CHECK_THROWS_AS(Ask(tls), std::runtime_error);
  CHECK_THROWS_AS(Ask({}), std::runtime_error);
}

TEST_CASE_FIXTURE(TlsFixture,
                  "HttpServer, keys replaced, uses them for new connections") {
  const CertificateFiles made("entry-host");
  int seconds = 0;
  const auto replace = [&](const std::string& file, const std::string& by) {
    std::filesystem::copy_file(
        by, file, std::filesystem::copy_options::overwrite_existing);
    // Two writes within a tick of the file system's clock look like one.
    std::filesystem::last_write_time(
        file, std::filesystem::file_time_type::clock::now() +
                  std::chrono::seconds(++seconds));
  };
  TlsInit old_trust;
  old_trust.ca_file = made.certificate_file() + ".old";
  std::filesystem::copy_file(m_server_files.certificate_file(),
                             old_trust.ca_file);
  CHECK(Ask(old_trust) == "name=");
  replace(m_server_files.certificate_file(), made.certificate_file());
  CHECK(Ask(old_trust) == "name=");  // The key does not fit yet.
  replace(m_server_files.key_file(), made.key_file());
  TlsInit new_trust;
  new_trust.ca_file = made.certificate_file();
  CHECK(Ask(new_trust) == "name=");
  CHECK_THROWS_AS(Ask(old_trust), std::runtime_error);
}

}  // namespace
}  // namespace laurelhall::net
