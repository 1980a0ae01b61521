#include <algorithm>
#include <iterator>

#include "laurelhall/base/log.h"
#include "laurelhall/operations/operations.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

constexpr std::string_view kPrefix = "/v1/";
constexpr int kOk = 200;

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return parts;
}

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  for (const std::string& pair : Split(text, '&')) {
    const size_t equals = pair.find('=');
    query[pair.substr(0, equals)] =
        equals == std::string::npos ? "" : pair.substr(equals + 1);
  }
  return query;
}

boost::json::object ParseBody(const std::string& body) {
  if (body.empty()) {
    return {};
  }
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) {
    throw RequestError(400, "body: expected a JSON object");
  }
  return std::move(value.as_object());
}

Request MakeRequest(const std::string& method,
                    const std::string& target,
                    const std::string& body,
                    const state::Machine& machine,
                    const control::ControlStatus& status) {
  if (!target.starts_with(kPrefix)) {
    throw RequestError(404, "path: expected /v1/...");
  }
  const std::string_view rest = std::string_view(target).substr(kPrefix.size());
  const size_t mark = rest.find('?');
  const std::string_view query =
      mark == std::string_view::npos ? "" : rest.substr(mark + 1);
  return {method,
          Split(rest.substr(0, mark), '/'),
          ParseQuery(query),
          ParseBody(body),
          machine,
          status};
}

bool Matches(const Route& route, const Request& request) {
  if (request.method != route.method) {
    return false;
  }
  const std::vector<std::string> pattern = Split(route.pattern, '/');
  return std::equal(pattern.begin(), pattern.end(), request.segments.begin(),
                    request.segments.end(),
                    [](const std::string& want, const std::string& got) {
                      return want == "*" || want == got;
                    });
}

/// JSON text; a page that is a plain text goes out as it is.
std::string TextOf(const boost::json::value& body) {
  return body.is_string() ? std::string(body.get_string())
                          : boost::json::serialize(body);
}

control::OperatorReply Problem(int status, const std::string& text) {
  const boost::json::object problem{
      {"type", "refused"}, {"status", status}, {"detail", text}};
  return {status, boost::json::serialize(problem)};
}

/// One committed command's result as an operator sees it.
control::OperatorReply ReplyOf(const state::Result& result) {
  const auto* act = std::get_if<state::ActResult>(&result);
  if (act == nullptr) {
    return Problem(500, "not an operator's command");
  }
  if (!act->is_accepted) {
    control::OperatorReply reply = Problem(409, act->error);
    return reply;
  }
  return {200, model::ToJsonText(*act)};
}

control::OperatorReply ReplyOf(
    const std::optional<std::vector<state::Result>>& results) {
  if (!results) {
    return Problem(504, "outcome not known; resend with the same request_id");
  }
  for (const state::Result& result : *results) {
    const control::OperatorReply reply = ReplyOf(result);
    if (reply.status != kOk) {
      return reply;
    }
  }
  return results->empty() ? control::OperatorReply{200, "{}"}
                          : ReplyOf(results->back());
}

class RoutedService : public control::OperatorService {
 public:
  explicit RoutedService(const std::shared_ptr<JobBoard>& board) {
    for (const auto& rows :
         {StatusRoutes(), ControlRoutes(), SettingsRoutes(), HostRoutes(),
          ActRoutes(), JobRoutes(board), ReportRoutes()}) {
      std::ranges::copy(rows, std::back_inserter(m_routes));
    }
  }

  void Attach(control::ControlActions& actions) override {
    m_actions = &actions;
  }

  void Handle(const std::string& method,
              const std::string& path,
              const std::string& body,
              const state::Machine& machine,
              const control::ControlStatus& status,
              const Commit& commit,
              std::function<void(control::OperatorReply)> done) override {
    Outcome outcome;
    try {
      outcome = Run(MakeRequest(method, path, body, machine, status));
    } catch (const RequestError& error) {
      done(Problem(error.status(), error.what()));
      return;
    } catch (const std::exception& error) {
      done(Problem(400, error.what()));
      return;
    }
    if (outcome.action) {
      CommitAct(std::move(outcome), commit, std::move(done));
    } else if (outcome.commands.empty()) {
      done({outcome.status, TextOf(outcome.body)});
    } else {
      CommitOutcome(std::move(outcome), commit, std::move(done));
    }
  }

 private:
  Outcome Run(const Request& request) const {
    for (const Route& route : m_routes) {
      if (Matches(route, request)) {
        return route.function(request);
      }
    }
    throw RequestError(404, "path: no such resource for " + request.method);
  }

  static void CommitOutcome(Outcome outcome,
                            const Commit& commit,
                            std::function<void(control::OperatorReply)> done) {
    commit(std::move(outcome.commands),
           [done = std::move(done), accepted = std::move(outcome.on_accepted)](
               const std::optional<std::vector<state::Result>>& results) {
             const control::OperatorReply reply = ReplyOf(results);
             if (reply.status == kOk && accepted) {
               accepted();
             }
             done(reply);
           });
  }

  // A resend does it once more: the first may have got no further than the
  // commit, and each act asks for an end state.
  void CommitAct(Outcome outcome,
                 const Commit& commit,
                 std::function<void(control::OperatorReply)> done) const {
    commit(std::move(outcome.commands),
           [actions = m_actions, action = std::move(outcome.action),
            done = std::move(done)](
               const std::optional<std::vector<state::Result>>& results) {
             const control::OperatorReply reply = ReplyOf(results);
             if (reply.status != kOk) {
               done(reply);
               return;
             }
             action(*actions, [done](const control::ActionOutcome& result) {
               done(result.is_accepted
                        ? control::OperatorReply{kOk, R"({"is_accepted":true})"}
                        : Problem(409, result.error));
             });
           });
  }

  std::vector<Route> m_routes;
  control::ControlActions* m_actions = nullptr;  // Set before any request.
};

}  // namespace

std::unique_ptr<control::OperatorService> MakeOperatorService(
    const std::shared_ptr<JobBoard>& board) {
  return std::make_unique<RoutedService>(board);
}

}  // namespace laurelhall::operations
