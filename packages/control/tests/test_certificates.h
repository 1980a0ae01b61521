#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include "laurelhall/control/control_client.h"

namespace laurelhall::control {

/// An authority that makes certificates into a folder of its own.
class TestAuthority {
 public:
  TestAuthority() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "laurelhall_caXXXXXX")
            .string();
    m_folder = mkdtemp(pattern.data());
    m_certificate = Sign(m_key, "authority", "", "critical,CA:TRUE");
    Write(ca_file(), m_certificate);
  }
  TestAuthority(const TestAuthority&) = delete;
  TestAuthority& operator=(const TestAuthority&) = delete;
  ~TestAuthority() {
    X509_free(m_certificate);
    EVP_PKEY_free(m_key);
    std::filesystem::remove_all(m_folder);
  }

  std::string ca_file() const { return m_folder / "ca.pem"; }

  /// Makes the files of one daemon; of a control host of the cluster "test"
  /// or not.
  InnerTlsFiles Make(const std::string& name, bool is_control) const {
    const InnerTlsFiles files{m_folder / (name + ".pem"),
                              m_folder / (name + ".key"), ca_file()};
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = Sign(key, is_control ? name + ".control" : name,
                             is_control ? "DNS:control.test" : "", "CA:FALSE");
    Write(files.certificate_file, certificate);
    FILE* out = std::fopen(files.key_file.c_str(), "w");
    PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(out);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return files;
  }

 private:
  static void Write(const std::string& file, X509* certificate) {
    FILE* out = std::fopen(file.c_str(), "w");
    PEM_write_X509(out, certificate);
    std::fclose(out);
  }

  static void Extend(X509* certificate, int kind, const std::string& value) {
    if (value.empty()) {
      return;
    }
    X509_EXTENSION* made =
        X509V3_EXT_conf_nid(nullptr, nullptr, kind, value.c_str());
    X509_add_ext(certificate, made, -1);
    X509_EXTENSION_free(made);
  }

  X509* Sign(EVP_PKEY* key,
             const std::string& name,
             const std::string& dns_names,
             const std::string& constraints) const {
    X509* made = X509_new();
    X509_set_version(made, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(made),
                     static_cast<long>(std::hash<std::string>()(name) >> 33));
    X509_gmtime_adj(X509_getm_notBefore(made), -3'600);
    X509_gmtime_adj(X509_getm_notAfter(made), 3'600);
    X509_set_pubkey(made, key);
    X509_NAME_add_entry_by_txt(
        X509_get_subject_name(made), "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509* issuer = m_certificate != nullptr ? m_certificate : made;
    X509_set_issuer_name(made, X509_get_subject_name(issuer));
    Extend(made, NID_basic_constraints, constraints);
    Extend(made, NID_subject_alt_name, dns_names);
    X509_sign(made, m_key, EVP_sha256());
    return made;
  }

  std::filesystem::path m_folder;
  EVP_PKEY* m_key = EVP_EC_gen("P-256");
  X509* m_certificate = nullptr;
};

}  // namespace laurelhall::control
