#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/evacuation/evacuation_state.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include "heathermoor/route/route_table.hpp"
#include "heathermoor/wire/heathermoor.pb.h"
#include <optional>
#include <vector>

namespace heathermoor::member {

/// @brief Converts a submission to its wire message.
/// @param work Job with its queue rules, age and remaining time.
/// @param term Term of the addressed leader; a leader drops submissions for another term.
/// @return Message, ready to be put into an envelope.
[[nodiscard]] wire::pool_submit to_wire(const pool::submission &work, leader_term term);

/// @brief Converts a wire message to a submission.
/// @param message Message as received.
/// @param from Gateway that sent it, and that gets the answer.
/// @return Submission; none if the job has no task, too many of them, a step that follows no earlier one, or values out of range.
[[nodiscard]] std::optional<pool::submission> from_wire(const wire::pool_submit &message, pool::gateway_ref from);

/// @brief Converts a configuration to its wire message.
/// @param config Complete configuration version.
/// @return Message, ready to be put into an envelope.
[[nodiscard]] wire::pool_config to_wire(const route::route_config &config);

/// @brief Converts a wire message to a configuration.
/// @param message Message as received.
/// @return Complete configuration version.
[[nodiscard]] route::route_config from_wire(const wire::pool_config &message);

/// @brief Converts what is known of evacuations to a wire message.
/// @param state Requests in force, and up to which offset they are all.
/// @return Message, ready to be put into an envelope; its age is not set.
[[nodiscard]] wire::pool_evacuations to_wire(const evacuation::evacuation_state &state);

/// @brief Converts a wire message to requests to evacuate failure domains.
/// @param message Message as received.
/// @return Requests in force, not checked.
[[nodiscard]] std::vector<evacuation::evacuation_request> from_wire(const wire::pool_evacuations &message);

/// @brief Converts catalog records to a wire message; removals are left out.
/// @param records Entries with their offsets.
/// @param next Offset after the last record covered.
/// @return Message, ready to be put into an envelope.
[[nodiscard]] wire::pool_catalog to_wire(const std::vector<catalog::catalog_record> &records, log_offset next);

/// @brief Converts a wire message to catalog records.
/// @param message Message as received.
/// @return Records; each has an entry.
[[nodiscard]] std::vector<catalog::catalog_record> from_wire(const wire::pool_catalog &message);

/// @brief Converts a scheduler's run statistics to a wire message.
/// @param learned Run statistics of queues and targets.
/// @return Message, ready to be put into an envelope.
[[nodiscard]] wire::pool_experience to_wire(const pool::run_statistics &learned);

/// @brief Converts a wire message to run statistics; skips entries with non-finite values and queues without samples.
/// @param message Message as received.
/// @return Run statistics of queues and targets.
[[nodiscard]] pool::run_statistics from_wire(const wire::pool_experience &message);

} // namespace heathermoor::member
