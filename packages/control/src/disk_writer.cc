#include "disk_writer_p.h"

#include <iterator>
#include <utility>

#include "laurelhall/base/log.h"
#include "laurelhall/base/work_meter.h"

namespace laurelhall::control {

namespace {

// A sync that takes as long is told: within it, what a caller waits for comes
// late.
constexpr Millis kSlowSync{250};

void Write(storage::LogStore& store, const DiskBatch::Part& part) {
  if (part.truncate_from) {
    store.Truncate(*part.truncate_from);
  }
  if (part.snapshot) {
    store.SaveSnapshot(*part.snapshot);
  }
  if (!part.entries.empty()) {
    store.Append(part.entries);
  }
  if (part.hard_state) {
    store.SaveHardState(*part.hard_state);
  }
}

// Returns why it failed; empty when all is durable.
std::string WriteAll(storage::LogStore& store, const DiskBatch& batch) {
  const DutyTimer timer(Duty::kDiskWrite);
  try {
    for (const DiskBatch::Part& part : batch.parts) {
      Write(store, part);
    }
    store.Sync();
    return {};
  } catch (const std::exception& error) {
    return std::string("cannot save: ") + error.what();
  }
}

}  // namespace

DiskWriter::DiskWriter(LoopContext loop,
                       TaskThread& thread,
                       storage::LogStore& store,
                       consensus::EntryPosition last,
                       const consensus::HardState& hard_state,
                       Events events)
    : m_loop(std::move(loop)),
      m_thread(thread),
      m_store(store),
      m_events(std::move(events)),
      m_last(last),
      m_offered(hard_state),
      m_disk_bytes(store.disk_bytes()) {}

void DiskWriter::Add(consensus::Ready& ready) {
  const bool has_part = ready.hard_state || ready.truncate_from ||
                        !ready.entries.empty() || ready.snapshot;
  if (has_part) {
    if (ready.snapshot) {
      m_last = {ready.snapshot->meta.index, ready.snapshot->meta.term};
      m_pending.has_install = true;
    }
    if (!ready.entries.empty()) {
      m_last = {ready.entries.back().index, ready.entries.back().term};
    }
    if (ready.hard_state) {
      m_pending.has_vote |= ready.hard_state->term != m_offered.term ||
                            ready.hard_state->vote != m_offered.vote;
      m_offered = *ready.hard_state;
    }
    m_pending.parts.push_back({ready.hard_state, ready.truncate_from,
                               std::move(ready.entries),
                               std::move(ready.snapshot)});
  }
  std::move(ready.messages_synced.begin(), ready.messages_synced.end(),
            std::back_inserter(m_pending.messages));
  if (!m_is_busy && !m_is_failed) {
    Start();
  }
}

void DiskWriter::SaveSnapshot(consensus::Snapshot snapshot) {
  DiskBatch::Part part;
  part.snapshot = std::move(snapshot);
  part.is_compaction = true;
  m_pending.parts.push_back(std::move(part));
  if (!m_is_busy && !m_is_failed) {
    Start();
  }
}

void DiskWriter::Resume(consensus::EntryPosition last,
                        const consensus::HardState& hard_state) {
  m_pending = DiskBatch();
  m_last = last;
  m_offered = hard_state;
  m_is_failed = false;
}

void DiskWriter::Start() {
  DiskBatch batch = std::exchange(m_pending, DiskBatch());
  batch.last = m_last;
  if (batch.parts.empty()) {
    if (!batch.messages.empty()) {
      m_events.synced(std::move(batch), false);
    }
    return;
  }
  m_is_busy = true;
  m_begun = std::chrono::steady_clock::now();
  auto shared = std::make_shared<DiskBatch>(std::move(batch));
  m_thread.TryPost([shared, this, mailbox = m_loop.mailbox, &store = m_store] {
    shared->begun_at = std::chrono::steady_clock::now();
    std::string error = WriteAll(store, *shared);
    shared->ended_at = std::chrono::steady_clock::now();
    const uint64_t bytes = store.disk_bytes();
    mailbox->Post([shared, this, bytes, error = std::move(error)] {
      Done(std::move(*shared), bytes, error);
    });
  });
}

Millis DiskWriter::SyncAge() const {
  return m_is_busy ? std::chrono::floor<Millis>(
                         std::chrono::steady_clock::now() - m_begun)
                   : Millis(0);
}

void DiskWriter::CountSync(const DiskBatch& batch) {
  const auto took =
      std::chrono::floor<Millis>(std::chrono::steady_clock::now() - m_begun);
  m_sync_times.Add(took);
  if (took >= kSlowSync) {
    PartLog("control")->warn(
        "A sync of the disk took {} ms: it began after {} ms and wrote for {} "
        "ms; {} messages waited for it.",
        took.count(),
        std::chrono::floor<Millis>(batch.begun_at - m_begun).count(),
        std::chrono::floor<Millis>(batch.ended_at - batch.begun_at).count(),
        batch.messages.size());
  }
}

void DiskWriter::Done(DiskBatch batch,
                      uint64_t disk_bytes,
                      const std::string& error) {
  m_is_busy = false;
  if (!error.empty()) {
    m_is_failed = true;
    m_events.failed(error);
    return;
  }
  m_disk_bytes = disk_bytes;
  ++m_syncs;
  CountSync(batch);
  const bool is_all = !m_pending.has_vote && !m_pending.has_install;
  m_events.synced(std::move(batch), is_all);
  if (!m_is_busy && !m_is_failed) {
    Start();
  }
}

}  // namespace laurelhall::control
