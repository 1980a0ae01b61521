#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace laurelhall::routing {

/// A sum over rows by which two hosts compare what they hold.
///
/// @remarks The same in each process. Not meant against forged input.
class RowDigest {
 public:
  void Add(uint64_t value);
  void Add(const std::string& text);
  uint64_t value() const { return m_value; }

 private:
  uint64_t m_value = 0x9e3779b97f4a7c15;
};

/// Names no rows: what refers to it stands by itself.
constexpr uint64_t kNoBase = 0;

/// The change from one list of rows to another.
template <typename Row>
struct RowDelta {
  uint64_t base = kNoBase;  ///< Digest of the rows before; kNoBase: in full.
  std::vector<Row> changed;
  std::vector<std::string> removed;  ///< By endpoint.
};

/// Rows by endpoint, with a digest that tells whether a delta fits.
///
/// @remarks Not thread-safe. `Row` has a member `endpoint`, an equality and
///   an `AddTo(RowDigest&)` over all that the equality compares.
template <typename Row>
class RowTable {
 public:
  RowTable() { UpdateDigest(); }
  explicit RowTable(const std::vector<Row>& rows) {
    for (const Row& row : rows) {
      m_rows.insert_or_assign(row.endpoint, row);
    }
    UpdateDigest();
  }

  /// Of all rows; never kNoBase.
  uint64_t digest() const { return m_digest; }

  /// The rows in the order of their endpoints.
  std::vector<Row> Rows() const {
    std::vector<Row> rows;
    rows.reserve(m_rows.size());
    for (const auto& [endpoint, row] : m_rows) {
      rows.push_back(row);
    }
    return rows;
  }

  /// What turns `base` into this.
  RowDelta<Row> DeltaFrom(const RowTable& base) const {
    RowDelta<Row> delta{base.digest(), {}, {}};
    for (const auto& [endpoint, row] : m_rows) {
      const auto before = base.m_rows.find(endpoint);
      if (before == base.m_rows.end() || !(before->second == row)) {
        delta.changed.push_back(row);
      }
    }
    for (const auto& [endpoint, row] : base.m_rows) {
      if (!m_rows.contains(endpoint)) {
        delta.removed.push_back(endpoint);
      }
    }
    return delta;
  }

  /// This in full.
  RowDelta<Row> Full() const { return {kNoBase, Rows(), {}}; }

  /// Whether a delta was made from these very rows, or stands by itself.
  bool Fits(const RowDelta<Row>& delta) const {
    return delta.base == kNoBase || delta.base == m_digest;
  }

  /// Takes a delta in. Precondition: it fits.
  void Apply(const RowDelta<Row>& delta) {
    if (delta.base == kNoBase) {
      m_rows.clear();
    }
    for (const std::string& endpoint : delta.removed) {
      m_rows.erase(endpoint);
    }
    for (const Row& row : delta.changed) {
      m_rows.insert_or_assign(row.endpoint, row);
    }
    UpdateDigest();
  }

 private:
  void UpdateDigest() {
    RowDigest digest;
    for (const auto& [endpoint, row] : m_rows) {
      row.AddTo(digest);
    }
    m_digest = digest.value() == kNoBase ? 1 : digest.value();
  }

  std::map<std::string, Row> m_rows;
  uint64_t m_digest = kNoBase;
};

}  // namespace laurelhall::routing
