#include "vendor_form_p.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>
#include <optional>

namespace laurelhall::entry {
namespace {

namespace json = boost::json;

constexpr int kMostSlots = 10'000;
constexpr size_t kMaxTextBytes = 200;

struct StateWord {
  std::string_view word;
  model::EndpointState state;
};

constexpr std::array<StateWord,
                     static_cast<size_t>(model::EndpointState::kCount)>
    kStateWords{{{"ready", model::EndpointState::kReady},
                 {"leaving", model::EndpointState::kLeaving},
                 {"gone", model::EndpointState::kGone}}};

[[noreturn]] void ThrowFinding(std::string place, std::string text) {
  throw FindingsError(
      std::vector<Finding>{{std::move(place), std::move(text)}});
}

// Takes values by dotted path and gathers what does not fit.
class Fields {
 public:
  explicit Fields(const json::value& root) : m_root(root) {}

  FindingList& findings() { return m_findings; }

  std::string Text(std::string_view path) {
    const json::value* value = Find(path);
    const bool is_text = value != nullptr && value->is_string() &&
                         !value->as_string().empty() &&
                         value->as_string().size() <= kMaxTextBytes;
    if (!is_text) {
      m_findings.Add(std::string(path), "expected a text");
      return {};
    }
    return std::string(value->as_string());
  }

  // A number, or a text of digits: vendors write both.
  uint64_t Number(std::string_view path,
                  uint64_t most,
                  std::optional<uint64_t> otherwise = {}) {
    const json::value* value = Find(path);
    if (value == nullptr && otherwise) {
      return *otherwise;
    }
    const std::optional<uint64_t> number = value ? ToNumber(*value) : otherwise;
    if (!number || *number == 0 || *number > most) {
      m_findings.Add(std::string(path), "expected a number above 0");
      return 1;
    }
    return *number;
  }

 private:
  static std::optional<uint64_t> ToNumber(const json::value& value) {
    if (value.is_int64() && value.as_int64() >= 0) {
      return static_cast<uint64_t>(value.as_int64());
    }
    if (value.is_uint64()) {
      return value.as_uint64();
    }
    return std::nullopt;
  }

  const json::value* Find(std::string_view path) const {
    const json::value* value = &m_root;
    while (value != nullptr && !path.empty()) {
      const std::string_view name = path.substr(0, path.find('.'));
      path.remove_prefix(std::min(path.size(), name.size() + 1));
      const json::object* object = value->if_object();
      value = object == nullptr ? nullptr : object->if_contains(name);
    }
    return value;
  }

  const json::value& m_root;
  FindingList m_findings;
};

// Where one vendor form keeps each value.
class Form {
 public:
  virtual ~Form() = default;
  virtual std::string_view StatePath() const = 0;
  virtual void Read(Fields& fields, model::Endpoint& endpoint) const = 0;
};

class FlatForm final : public Form {
 public:
  std::string_view StatePath() const override { return "status"; }
  void Read(Fields& fields, model::Endpoint& endpoint) const override {
    endpoint.id = fields.Text("id");
    endpoint.service = fields.Text("service");
    endpoint.address = fields.Text("addr");
    endpoint.host = fields.Text("host");
    endpoint.availability_zone = fields.Text("zone");
    endpoint.incarnation = fields.Number("boot", INT64_MAX);
    endpoint.slots = static_cast<int>(
        fields.Number("slots", kMostSlots, model::Endpoint().slots));
    endpoint.connections = static_cast<int>(
        fields.Number("conns", kMostSlots, model::Endpoint().connections));
  }
};

class NestedForm final : public Form {
 public:
  std::string_view StatePath() const override { return "health.phase"; }
  void Read(Fields& fields, model::Endpoint& endpoint) const override {
    endpoint.id = fields.Text("runner.uid");
    endpoint.service = fields.Text("runner.app");
    endpoint.address =
        fields.Text("runner.listen.ip") + ":" +
        std::to_string(fields.Number("runner.listen.port", UINT16_MAX));
    endpoint.host = fields.Text("placement.machine");
    endpoint.availability_zone = fields.Text("placement.zone");
    endpoint.incarnation = fields.Number("runner.generation", INT64_MAX);
    endpoint.slots = static_cast<int>(fields.Number(
        "capacity.parallel", kMostSlots, model::Endpoint().slots));
    endpoint.connections = static_cast<int>(fields.Number(
        "capacity.sockets", kMostSlots, model::Endpoint().connections));
  }
};

const Form* FindForm(std::string_view name) {
  static const FlatForm flat;
  static const NestedForm nested;
  if (name == "flat") {
    return &flat;
  }
  return name == "nested" ? &nested : nullptr;
}

model::EndpointState ReadState(Fields& fields,
                               std::string_view path,
                               const model::Vendor& vendor) {
  const std::string word = fields.Text(path);
  const auto ours = vendor.state_words.find(word);
  for (const StateWord& known : kStateWords) {
    if (ours != vendor.state_words.end() && ours->second == known.word) {
      return known.state;
    }
  }
  fields.findings().Add(std::string(path),
                        "no state word of vendor " + vendor.name);
  return model::EndpointState::kCount;
}

}  // namespace

model::Endpoint ReadAnnouncement(
    std::string_view body,
    const std::map<std::string, model::Vendor>& vendors) {
  boost::system::error_code malformed;
  const json::value root = json::parse(body, malformed);
  Fields fields(root);
  if (malformed || !root.is_object()) {
    ThrowFinding("body", "expected a JSON object");
  }
  model::Endpoint endpoint;
  endpoint.vendor = fields.Text("vendor");
  const auto vendor = vendors.find(endpoint.vendor);
  const Form* form =
      vendor == vendors.end() ? nullptr : FindForm(vendor->second.form);
  if (form == nullptr) {
    ThrowFinding("vendor", "expected the name of a known vendor");
  }
  form->Read(fields, endpoint);
  endpoint.state = ReadState(fields, form->StatePath(), vendor->second);
  fields.findings().ThrowIfAny();
  return endpoint;
}

}  // namespace laurelhall::entry
