#include "attempt_p.h"

#include <algorithm>
#include <array>
#include <utility>

namespace laurelhall::entry {
namespace {

using routing::AttemptOutcome;

constexpr std::array<AttemptOutcome,
                     static_cast<size_t>(net::HttpFailure::kCount)>
    kOutcomes{AttemptOutcome::kOk, AttemptOutcome::kRefused,
              AttemptOutcome::kError, AttemptOutcome::kTimeout,
              AttemptOutcome::kError};

class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(AttemptInit init, std::function<void(AttemptResult)> done)
      : m_init(std::move(init)), m_done(std::move(done)) {}

  void Start() {
    ConnectionPool& pool = m_init.context->pool;
    m_connection = pool.Take(m_init.turn.address);
    if (m_init.must_be_fresh) {
      // The idle one goes, so that there is one connection a slot.
      m_connection = nullptr;
    }
    if (m_connection == nullptr) {
      Connect();
    } else {
      m_is_pooled = true;
      Send();
    }
  }

 private:
  void Connect() {
    m_is_pooled = false;
    m_connection =
        net::HttpConnection::Make(m_init.context->threads, m_init.turn.address);
    m_connection->Connect(m_init.context->init.connect_timeout,
                          [self = shared_from_this()](bool is_connected) {
                            if (is_connected) {
                              self->Send();
                            } else {
                              self->EndUnsent(AttemptOutcome::kRefused);
                            }
                          });
  }

  void Send() {
    m_connection->Send(
        m_init.request, m_init.policy.max_run_time,
        m_init.policy.max_answer_bytes,
        [self = shared_from_this()] { return self->MayWrite(); },
        [self = shared_from_this()](net::HttpResult result) {
          self->OnResult(std::move(result));
        });
  }

  // The last look before the first byte: whatever this process has slept
  // through, nothing is written on the strength of an old view or lease.
  bool MayWrite() {
    EntryContext& context = *m_init.context;
    const SteadyTime now = context.Now();
    const bool may_write = !*m_init.is_cancelled && now < m_init.deadline &&
                           context.IsViewFresh(now) &&
                           context.grants.IsValid(m_init.turn.ticket, now) &&
                           m_init.shard->MaySend(m_init.turn, now);
    m_is_held_back = !may_write;
    m_written_at = now;
    if (may_write) {
      ++context.counters.attempts;
    }
    return may_write;
  }

  void OnResult(net::HttpResult result) {
    if (result.failure == net::HttpFailure::kNone) {
      OnAnswer(std::move(result.response));
    } else if (result.may_have_sent) {
      EndBroken(kOutcomes.at(static_cast<size_t>(result.failure)));
    } else if (m_is_held_back) {
      m_init.context->pool.Give(m_init.turn.address, std::move(m_connection));
      EndUnsent(AttemptOutcome::kCancelled);
    } else if (m_is_pooled) {
      Connect();
    } else {
      EndUnsent(AttemptOutcome::kRefused);
    }
  }

  void OnAnswer(net::HttpResponse response) {
    if (response.headers.Get("X-Request-Id") != m_init.request_id) {
      // Whoever's answer this is, ours may still be on its way.
      ++m_init.context->counters.mismatches;
      m_connection->Close();
      EndBroken(AttemptOutcome::kError);
      return;
    }
    m_init.context->pool.Give(m_init.turn.address, std::move(m_connection));
    AttemptResult result;
    result.end.outcome =
        response.status >= 500 ? AttemptOutcome::kError : AttemptOutcome::kOk;
    result.end.has_run = true;
    result.response = std::move(response);
    Finish(std::move(result));
  }

  void EndUnsent(AttemptOutcome outcome) {
    AttemptResult result;
    result.failure = AttemptFailure::kUnsent;
    result.end.outcome = outcome;
    Finish(std::move(result));
  }

  // A closed connection does not stop a run, so its slot stays taken for the
  // longest run time from the write.
  void EndBroken(AttemptOutcome outcome) {
    AttemptResult result;
    result.failure = AttemptFailure::kBroken;
    result.end.outcome = outcome;
    result.end.has_run = true;
    result.end.may_still_run = true;
    result.end.run_until = m_written_at + m_init.policy.max_run_time;
    Finish(std::move(result));
  }

  void Finish(AttemptResult result) {
    m_connection = nullptr;
    std::exchange(m_done, nullptr)(std::move(result));
  }

  const AttemptInit m_init;
  std::function<void(AttemptResult)> m_done;
  std::shared_ptr<net::HttpConnection> m_connection;
  bool m_is_pooled = false;
  bool m_is_held_back = false;
  SteadyTime m_written_at{};
};

}  // namespace

void StartAttempt(AttemptInit init, std::function<void(AttemptResult)> done) {
  std::make_shared<Attempt>(std::move(init), std::move(done))->Start();
}

}  // namespace laurelhall::entry
