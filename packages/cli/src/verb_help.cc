#include <algorithm>
#include <set>
#include <string>
#include <string_view>

#include "options_p.h"
#include "verb_p.h"

namespace laurelhall::cli {
namespace {

constexpr const char* kExitCodesHelp =
    "Exit codes: 0 done, 1 refused, a trace did not hold or an id was "
    "not found,\n2 bad usage or input, 3 no answer (resend with the same "
    "--request-id)\n";

std::string FirstWord(const Verb& verb) {
  const std::string_view name = verb.name;
  return std::string(name.substr(0, name.find(' ')));
}

}  // namespace

size_t WordCount(const Verb& verb) {
  const std::string_view name = verb.name;
  return 1 + static_cast<size_t>(std::count(name.begin(), name.end(), ' '));
}

const Verb* FindVerb(const std::vector<std::string>& words) {
  for (const Verb& verb : Verbs()) {
    std::string name;
    for (size_t i = 0; i < std::min(WordCount(verb), words.size()); ++i) {
      name += (i == 0 ? "" : " ") + words[i];
    }
    if (name == verb.name) {
      return &verb;
    }
  }
  return nullptr;
}

std::string VerbHelp(const Verb& verb) {
  std::string text = "laurelhall " + std::string(verb.name) + " " +
                     verb.arguments + "\n  " + verb.summary + "\n\nOptions:";
  for (const Field& field : verb.fields) {
    const std::string_view source = field.source;
    if (source.find_first_not_of("0123456789") != std::string_view::npos) {
      text += " --" + std::string(source);
      text += field.is_required ? " (required)" : "";
    }
  }
  for (const char* option : verb.options) {
    text += std::string(" --") + option;
  }
  return text + " and those of all verbs\n\nExample:\n  laurelhall " +
         verb.example + "\n\n" + kExitCodesHelp;
}

std::string OverviewHelp() {
  std::string text = "laurelhall VERB [ARGUMENTS] [OPTIONS]\n\n";
  for (const Verb& verb : Verbs()) {
    std::string synopsis =
        "  " + std::string(verb.name) + " " + std::string(verb.arguments);
    synopsis.resize(std::max<size_t>(synopsis.size() + 1, 30), ' ');
    text += synopsis + verb.summary + "\n";
  }
  return text + "\nlaurelhall VERB --help shows an example.\n" +
         GlobalOptionsHelp() + "\n" + kExitCodesHelp;
}

std::string BashCompletion() {
  std::set<std::string> firsts;
  std::string cases;
  for (const Verb& verb : Verbs()) {
    const std::string first = FirstWord(verb);
    if (!firsts.insert(first).second || WordCount(verb) == 1) {
      continue;
    }
    cases += "    " + first + ") words=\"";
    for (const Verb& other : Verbs()) {
      if (FirstWord(other) == first) {
        cases += std::string(other.name).substr(first.size() + 1) + " ";
      }
    }
    cases += "\" ;;\n";
  }
  std::string all;
  for (const std::string& first : firsts) {
    all += first + " ";
  }
  return "_laurelhall() {\n  local words=\"" + all +
         "\"\n  if [ \"$COMP_CWORD\" -eq 2 ]; then\n    words=\"\"\n"
         "    case \"${COMP_WORDS[1]}\" in\n" +
         cases +
         "    esac\n  elif [ \"$COMP_CWORD\" -gt 2 ]; then\n    words=\"\"\n"
         "  fi\n  COMPREPLY=($(compgen -W \"$words\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
         "complete -o default -F _laurelhall laurelhall\n";
}

}  // namespace laurelhall::cli
