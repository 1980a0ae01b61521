#pragma once

#include <functional>
#include <memory>

#include "entry_context_p.h"
#include "service_shard_p.h"

namespace laurelhall::entry {

using FindShard =
    std::function<std::shared_ptr<ServiceShard>(const std::string& service)>;

/// Answers an endpoint's announcement: a renewal at once, a transition once
/// it is committed. Thread-safe.
///
/// @param find_shard Makes the shard when there is none.
void HandleAnnouncement(const std::shared_ptr<EntryContext>& context,
                        const model::Config& config,
                        const FindShard& find_shard,
                        const std::shared_ptr<net::HttpExchange>& exchange);

}  // namespace laurelhall::entry
