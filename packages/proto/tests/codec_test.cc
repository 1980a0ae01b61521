#include "laurelhall/proto/codec.h"

#include <doctest/doctest.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laurelhall::proto {
namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::Message;
using consensus::MessageKind;

struct CodecFixture {
  uint64_t Pick(uint64_t bound) { return m_random() % bound; }

  std::string RandomText(size_t bound) {
    std::string text(Pick(bound), '\0');
    for (char& c : text) {
      c = static_cast<char>(m_random());
    }
    return text;
  }

  Message RandomMessage() {
    Message message;
    message.kind = static_cast<MessageKind>(
        Pick(static_cast<uint64_t>(MessageKind::kCount)));
    for (uint64_t* number :
         {&message.from.value, &message.to.value, &message.term, &message.index,
          &message.log_term, &message.commit, &message.hint, &message.round}) {
      *number = m_random() >> Pick(64);
    }
    message.is_rejected = Pick(2) == 0;
    message.is_transfer = Pick(2) == 0;
    for (uint64_t i = Pick(5); i > 0; --i) {
      const consensus::Index index =
          message.entries.empty() ? 7 : message.entries.back().index + 1;
      message.entries.push_back(
          {index, Pick(9), static_cast<EntryKind>(Pick(3)), RandomText(300)});
    }
    if (Pick(2) == 0) {
      message.snapshot.meta.index = 1 + Pick(1000);
      message.snapshot.meta.term = Pick(10);
      message.snapshot.meta.membership.members[{1 + Pick(99)}] = {
          "10.0.0.1:7", "zone-b", "two", Pick(2) == 0};
      message.snapshot.data = RandomText(3000);
    }
    return message;
  }

  /// Changes a few bytes, or cuts or stretches the whole.
  void Damage(std::string& bytes) {
    for (uint64_t i = 1 + Pick(4); i > 0 && !bytes.empty(); --i) {
      // The first words hold the pointers, where damage goes furthest.
      const size_t bound = Pick(2) == 0 ? bytes.size() : 64;
      bytes[Pick(std::min(bytes.size(), bound))] =
          static_cast<char>(m_random() >> Pick(8));
    }
    if (Pick(4) == 0) {
      bytes.resize(Pick(bytes.size() + 64));
    }
  }

  std::mt19937_64 m_random{20'26};
};

void CheckEqual(const Message& one, const Message& other) {
  CHECK(one.kind == other.kind);
  CHECK(one.from == other.from);
  CHECK(one.to == other.to);
  CHECK(one.term == other.term);
  CHECK(one.index == other.index);
  CHECK(one.log_term == other.log_term);
  CHECK(one.commit == other.commit);
  CHECK(one.is_rejected == other.is_rejected);
  CHECK(one.is_transfer == other.is_transfer);
  CHECK(one.hint == other.hint);
  CHECK(one.round == other.round);
  CHECK(one.entries == other.entries);
  CHECK(one.snapshot.meta.index == other.snapshot.meta.index);
  CHECK(one.snapshot.meta.term == other.snapshot.meta.term);
  CHECK(one.snapshot.meta.membership == other.snapshot.meta.membership);
  CHECK(one.snapshot.data == other.snapshot.data);
}

TEST_CASE_FIXTURE(CodecFixture, "Codec, any message, reads back the same") {
  for (int i = 0; i < 500; ++i) {
    const Message message = RandomMessage();
    CheckEqual(DecodeMessageBytes(EncodeMessageBytes(message)), message);
  }
}

TEST_CASE_FIXTURE(CodecFixture,
                  "Codec, damaged bytes, reads a message or throws typed") {
  int refused = 0;
  for (int i = 0; i < 50'000; ++i) {
    std::string bytes = EncodeMessageBytes(RandomMessage());
    Damage(bytes);
    try {
      const Message message = DecodeMessageBytes(bytes);
      REQUIRE(message.kind < MessageKind::kCount);
    } catch (const DecodeError&) {
      ++refused;
    }
  }
  MESSAGE("refused: " << refused);
  CHECK(refused > 1000);
}

TEST_CASE_FIXTURE(CodecFixture, "Codec, impossible values, throws typed") {
  Message message = RandomMessage();
  message.entries = {{3, 1, EntryKind::kCommand, "a"},
                     {5, 1, EntryKind::kCommand, "b"}};
  CHECK_THROWS_AS(DecodeMessageBytes(EncodeMessageBytes(message)), DecodeError);
  message.entries = {{3, 1, EntryKind::kCount, "a"}};
  CHECK_THROWS_AS(DecodeMessageBytes(EncodeMessageBytes(message)), DecodeError);
  message.entries.clear();
  message.kind = MessageKind::kCount;
  CHECK_THROWS_AS(DecodeMessageBytes(EncodeMessageBytes(message)), DecodeError);
  CHECK_THROWS_AS(DecodeMessageBytes("1234567"), DecodeError);
}

struct EnvelopeFixture {
  /// What differs, as a call with these fields is received; none if nothing.
  std::optional<EnvelopeField> Refusal(const Credentials& sender,
                                       uint32_t version = kSchemaVersion) {
    capnp::MallocMessageBuilder builder;
    Envelope::Builder envelope = builder.initRoot<Envelope>();
    FillEnvelope(sender, "entry-1", envelope);
    envelope.setSchemaVersion(version);
    try {
      CheckEnvelope(m_own, envelope.asReader());
    } catch (const EnvelopeError& error) {
      m_text = error.what();
      return error.field();
    }
    return std::nullopt;
  }

  Credentials m_own{"montevideo", "0123456789abcdef"};
  std::string m_text;
};

TEST_CASE_FIXTURE(EnvelopeFixture,
                  "CheckEnvelope, one field differs, names that field") {
  CHECK(Refusal(m_own) == std::nullopt);
  CHECK(Refusal({"marmara", m_own.key}) == EnvelopeField::kCluster);
  CHECK(m_text == "cluster is 'marmara', expected 'montevideo'");
  CHECK(Refusal(m_own, kSchemaVersion + 1) == EnvelopeField::kSchemaVersion);
  for (const char* key : {"", "0123456789abcdeF", "0123456789abcdef0"}) {
    CHECK(Refusal({m_own.cluster, key}) == EnvelopeField::kKey);
    CHECK(m_text == "cluster key differs");
  }
}

}  // namespace
}  // namespace laurelhall::proto
