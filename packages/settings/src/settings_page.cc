#include "canonical_json_p.h"
#include "laurelhall/settings/tree.h"
#include "schema_p.h"

namespace laurelhall::settings {
namespace {

constexpr const char* kIntroduction =
    "# Settings of the shared tree\n"
    "\n"
    "This page is made from the table that the checks use; a test compares "
    "it.\n"
    "\n"
    "The tree is one JSON object with the sections below. A node of `pools` "
    "or\n"
    "`services` may name a `parent` of its own section and then overrides "
    "only what\n"
    "differs; removing a value shows the parent's again. A node with\n"
    "`\"abstract\": true` is only there to be inherited from: it is no pool "
    "or service\n"
    "itself. `parent` and `abstract` are not inherited. Durations are texts "
    "such as\n"
    "`\"250ms\"`, `\"30s\"`, `\"1m30s\"`, `\"28d\"`.\n"
    "\n"
    "Sections must agree: a service's `pools` and `organisation` exist; "
    "`min_available`\n"
    "is at most the target hosts of its pools, where they have any;\n"
    "`kept_answer_bytes` is at most `max_answer_bytes`, `max_request_bytes` "
    "at most\n"
    "`queue_max_bytes`, and `claim_retention` at least `max_run_time`; a "
    "vendor has a\n"
    "word for `ready`.\n";

std::string SectionText(const Section& section) {
  const std::string place = section.is_named ? ".NAME" : "";
  std::string text = "\n## " + std::string(section.name) + place + "\n\n" +
                     std::string(section.description) + "\n\n";
  text += "| setting | type | default | bounds | meaning |\n";
  text += "| --- | --- | --- | --- | --- |\n";
  const Record record = section.make("");
  for (const Setting& setting : Settings()) {
    if (setting.section != section.name) {
      continue;
    }
    text += "| `" + std::string(setting.name) + "` | " + TypeText(setting) +
            " | `" + CanonicalText(setting.get(record)) + "` | " +
            BoundsText(setting) + " | " + std::string(setting.description) +
            " |\n";
  }
  return text;
}

}  // namespace

std::string SettingsPage() {
  std::string text = kIntroduction;
  for (const Section& section : Sections()) {
    text += SectionText(section);
  }
  return text;
}

}  // namespace laurelhall::settings
