// What a caller can rely on: what reaches an open connection, or waits to be
// accepted, before the process is gone is answered, if only by a refusal.
//
// A stopping entry host cut requests off though its process went on. It closed
// its listener 2.5 s after SIGTERM, and the kernel reset the connections that
// still waited there; it closed idle connections 0.3 s later, and requests on
// their way on these were lost. In three plays each: over 600 connections of
// callers in bunches were reset at 2.80 s where the process had been frozen
// until then; 11 or more requests of callers that ask again at 2.6 to 3.3 s
// ended at 2.80 s, sent within the same milliseconds.
//
// One entry host alone, so that each answer is a quick refusal; callers ask on
// kept connections before, while and after it is told to stop.

#include <doctest/doctest.h>

#include <csignal>
#include <fstream>

#include "lone_entry.h"
#include "steady_callers.h"

namespace laurelhall::scenario {
namespace {

constexpr Millis kStopAt = std::chrono::seconds(3);
constexpr Millis kGrace = std::chrono::seconds(8);
constexpr Millis kStarts = std::chrono::seconds(20);
constexpr Millis kStarting{50};
constexpr Millis kHasty{5};
constexpr Millis kPatient{700};

// With nobody to ask, a caller is answered once its patience is over.
std::string RequestOf(Millis patience) {
  return "GET /jobs/0000000000000000 HTTP/1.1\r\nHost: a.example\r\n"
         "Deadline-Ms: " +
         std::to_string(patience.count()) + "\r\n\r\n";
}

class EntryStopFixture : protected LoneEntryFixture {
 protected:
  EntryStopFixture() {
    std::ofstream(settings_file()) << Settings(kGrace);
    Start();
    WaitUntilItListens();
  }

  void WaitUntilItListens() {
    SteadyCallersInit init;
    init.address = m_jobs.address();
    init.callers = {{RequestOf(kHasty), Millis(0), kStarting, kStarting}};
    init.is_server_there = [] { return false; };
    SteadyCallers first(init);
    const SteadyTime end = std::chrono::steady_clock::now() + kStarts;
    first.Run([&] {
      return first.answers() > 0 || std::chrono::steady_clock::now() > end;
    });
    REQUIRE(first.answers() > 0);
  }

  struct Day {
    int steady = 0;   ///< Callers that ask all the time.
    int bunched = 0;  ///< Callers that all ask at the same moments.
    int quiet = 0;    ///< Callers that ask once before the signal, once after.
    Millis freeze_at{0};  ///< After the signal; none when zero.
    Millis thaw_at{0};
    uint64_t seed = 1;
  };

  void Play(const Day& day) {
    SteadyCallersInit init;
    init.address = m_jobs.address();
    init.seed = day.seed;
    init.is_server_there = [this] { return m_process->is_running(); };
    for (int caller = 0; caller < day.steady; ++caller) {
      const Millis patience = caller % 4 == 0 ? kPatient : kHasty;
      init.callers.push_back(
          {RequestOf(patience), Millis(caller % 400), Millis(0), Millis(400)});
    }
    for (int caller = 0; caller < day.bunched; ++caller) {
      init.callers.push_back(
          {RequestOf(kHasty), Millis(0), Millis(50), Millis(50)});
    }
    for (int caller = 0; caller < day.quiet; ++caller) {
      const Millis first(2'000 + caller % 900);
      init.callers.push_back({RequestOf(kHasty), first,
                              kStopAt + Millis(2'600) - first,
                              kStopAt + Millis(3'300) - first});
    }
    SteadyCallers callers(init);
    const SteadyTime stop_at = std::chrono::steady_clock::now() + kStopAt;
    bool is_stopping = false;
    SteadyTime gone_at{};
    callers.Run([&] {
      const SteadyTime now = std::chrono::steady_clock::now();
      if (!is_stopping && now >= stop_at) {
        is_stopping = true;
        m_process->Signal(SIGTERM);
      }
      PlayFreeze(day, stop_at, now);
      if (gone_at == SteadyTime() && !m_process->is_running()) {
        gone_at = now;
      }
      const bool is_late = now > stop_at + 2 * kGrace;
      return is_late || (gone_at != SteadyTime() &&
                         now > gone_at + 2 * SteadyCallers::kSurelyGone);
    });
    REQUIRE(gone_at != SteadyTime());
    CHECK(gone_at < stop_at + kGrace);
    MESSAGE("gone after ", (gone_at - stop_at) / Millis(1), " ms, answers ",
            callers.answers());
    for (const CutRequest& cut : callers.cuts()) {
      FAIL_CHECK("cut off (", cut.how, ") ", (cut.at - kStopAt).count(),
                 " ms after the signal, sent at ", (cut.sent - kStopAt).count(),
                 " ms, answered before on its connection: ", cut.answered);
    }
  }

  void PlayFreeze(const Day& day, SteadyTime stop_at, SteadyTime now) {
    const Millis since = std::chrono::floor<Millis>(now - stop_at);
    if (day.freeze_at < day.thaw_at) {
      const bool is_due = since >= day.freeze_at && since < day.thaw_at;
      if (is_due != m_is_frozen) {
        m_is_frozen = is_due;
        m_process->Signal(is_due ? SIGSTOP : SIGCONT);
      }
    }
  }

  bool m_is_frozen = false;
};

TEST_CASE_FIXTURE(EntryStopFixture,
                  "Entry host, stopped among 120 that ask, cuts off none") {
  Day day;
  day.steady = 120;
  Play(day);
}

TEST_CASE_FIXTURE(EntryStopFixture,
                  "Entry host, stopped among quiet callers, cuts off none") {
  Day day;
  day.steady = 100;
  day.quiet = 600;
  Play(day);
}

TEST_CASE_FIXTURE(EntryStopFixture,
                  "Entry host, stopped among bunches, cuts off none") {
  Day day;
  day.steady = 60;
  day.bunched = 300;
  Play(day);
}

// Wakes with connections that wait to be accepted, as it is about to end.
TEST_CASE_FIXTURE(EntryStopFixture,
                  "Entry host, frozen as it ends, cuts off none") {
  Day day;
  day.steady = 60;
  day.bunched = 200;
  day.freeze_at = Millis(2'300);
  day.thaw_at = Millis(2'800);
  Play(day);
}

}  // namespace
}  // namespace laurelhall::scenario
