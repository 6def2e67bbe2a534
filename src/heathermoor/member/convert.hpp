#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/pool/scheduler.hpp"
#include "heathermoor/route/route_table.hpp"
#include "heathermoor/wire/heathermoor.pb.h"
#include <vector>

namespace heathermoor::member {

/// @brief Submission as a message.
/// @param work Submission.
/// @param term Term of the scheduler that it is meant for.
/// @return Message.
[[nodiscard]] wire::pool_submit to_wire(const pool::submission &work, leader_term term);

/// @brief Submission from a message.
/// @param message Message.
/// @param from Sender.
/// @return Submission.
[[nodiscard]] pool::submission from_wire(const wire::pool_submit &message, host_id from);

/// @brief Configuration as a message.
/// @param config Configuration.
/// @return Message.
[[nodiscard]] wire::pool_config to_wire(const route::route_config &config);

/// @brief Configuration from a message.
/// @param message Message.
/// @return Configuration.
[[nodiscard]] route::route_config from_wire(const wire::pool_config &message);

/// @brief Catalog records as a message.
/// @param records Records.
/// @param next Offset of the next record to read.
/// @return Message.
[[nodiscard]] wire::pool_catalog to_wire(const std::vector<catalog::catalog_record> &records, log_offset next);

/// @brief Catalog records from a message.
/// @param message Message.
/// @return Records.
[[nodiscard]] std::vector<catalog::catalog_record> from_wire(const wire::pool_catalog &message);

/// @brief A scheduler's experience as a message.
/// @param learned Experience.
/// @return Message.
[[nodiscard]] wire::pool_experience to_wire(const pool::run_statistics &learned);

/// @brief A scheduler's experience from a message; figures that cannot be are left out.
/// @param message Message.
/// @return Experience.
[[nodiscard]] pool::run_statistics from_wire(const wire::pool_experience &message);

} // namespace heathermoor::member
