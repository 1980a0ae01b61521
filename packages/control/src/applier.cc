#include "applier_p.h"

#include <algorithm>
#include <utility>

#include "laurelhall/base/work_meter.h"

namespace laurelhall::control {

namespace {

// What one turn on the apply thread takes, so that answers go out steadily.
constexpr size_t kMaxTurnEntries = 256;
// Counted for an entry besides its payload.
constexpr uint64_t kEntryOverhead = 64;

uint64_t BytesOf(const std::vector<consensus::Entry>& entries) {
  uint64_t bytes = 0;
  for (const consensus::Entry& entry : entries) {
    bytes += entry.payload.size() + kEntryOverhead;
  }
  return bytes;
}

}  // namespace

Applier::Applier(LoopContext loop,
                 TaskThread& thread,
                 state::Machine& machine,
                 consensus::Index applied,
                 uint64_t snapshot_every,
                 Events events)
    : m_loop(std::move(loop)),
      m_thread(thread),
      m_machine(machine),
      m_applied(applied),
      m_snapshot_every(snapshot_every),
      m_events(std::move(events)),
      m_last_snapshot(applied) {}

void Applier::Add(std::vector<consensus::Entry> entries) {
  if (entries.empty()) {
    return;
  }
  m_backlog_bytes += BytesOf(entries);
  const bool is_joined = !m_items.empty() && !m_items.back().snapshot &&
                         m_items.back().entries.size() < kMaxTurnEntries;
  if (!is_joined) {
    m_items.emplace_back();
  }
  auto& queued = m_items.back().entries;
  queued.insert(queued.end(), std::make_move_iterator(entries.begin()),
                std::make_move_iterator(entries.end()));
  Start();
}

void Applier::AddSnapshot(consensus::Snapshot snapshot) {
  m_items.emplace_back().snapshot =
      std::make_unique<consensus::Snapshot>(std::move(snapshot));
}

void Applier::Installed() {
  for (Item& item : m_items) {
    if (item.snapshot && !item.is_installed) {
      item.is_installed = true;
      break;
    }
  }
  Start();
}

void Applier::DropUninstalled() {
  const auto first = std::find_if(
      m_items.begin(), m_items.end(),
      [](const Item& item) { return item.snapshot && !item.is_installed; });
  for (auto item = first; item != m_items.end(); ++item) {
    m_backlog_bytes -= BytesOf(item->entries);
  }
  m_items.erase(first, m_items.end());
}

Applier::Item Applier::TakeNext() {
  Item item = std::move(m_items.front());
  m_items.pop_front();
  m_backlog_bytes -= BytesOf(item.entries);
  if (!item.entries.empty()) {
    const consensus::Index last = item.entries.back().index;
    item.is_save_due = last >= m_last_snapshot + m_snapshot_every;
    m_last_snapshot = item.is_save_due ? last : m_last_snapshot;
  } else {
    m_last_snapshot = item.snapshot->meta.index;
  }
  return item;
}

void Applier::Start() {
  if (m_is_busy || m_is_failed || m_items.empty()) {
    return;
  }
  if (m_items.front().snapshot && !m_items.front().is_installed) {
    return;
  }
  m_is_busy = true;
  auto item = std::make_shared<Item>(TakeNext());
  m_thread.TryPost([item, this, mailbox = m_loop.mailbox, &machine = m_machine,
                    applied = m_applied] {
    auto outcome = std::make_shared<Outcome>(Apply(machine, *item, applied));
    mailbox->Post([outcome, this] { Done(std::move(*outcome)); });
  });
}

Applier::Outcome Applier::Apply(state::Machine& machine,
                                const Item& item,
                                consensus::Index applied) {
  const DutyTimer timer(Duty::kApply);
  Outcome outcome;
  outcome.applied = applied;
  try {
    if (item.snapshot && item.snapshot->meta.index <= applied) {
      return outcome;
    }
    if (item.snapshot) {
      machine.Load(item.snapshot->data);
      outcome.applied = item.snapshot->meta.index;
      return outcome;
    }
    for (const consensus::Entry& entry : item.entries) {
      if (entry.index <= outcome.applied) {
        continue;
      }
      AppliedEntry done{{entry.index, entry.term}, {}};
      if (entry.kind == consensus::EntryKind::kCommand) {
        done.results = machine.Apply(entry.index, entry.payload);
      }
      outcome.applied = entry.index;
      outcome.entries.push_back(std::move(done));
    }
    if (item.is_save_due) {
      outcome.saved = std::make_unique<std::string>(machine.Save());
    }
  } catch (const std::exception& error) {
    outcome.error = std::string("cannot apply: ") + error.what();
  }
  return outcome;
}

void Applier::Done(Outcome outcome) {
  m_is_busy = false;
  if (!outcome.error.empty()) {
    m_is_failed = true;
    m_events.failed(outcome.error);
    return;
  }
  m_applied = outcome.applied;
  if (outcome.saved) {
    m_events.saved(outcome.applied, std::move(*outcome.saved));
  }
  Start();
  m_events.applied(outcome.entries);
}

}  // namespace laurelhall::control
