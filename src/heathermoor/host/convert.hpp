#pragma once

#include "heathermoor/membership/peer_table.hpp"
#include "heathermoor/placement/scheduling_policy.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include "heathermoor/wire/heathermoor.pb.h"

namespace heathermoor::host {

/// @brief Job as a message.
/// @param spec Job.
/// @param left Time left until its deadline.
/// @return Message.
[[nodiscard]] wire::submission to_wire(const submission::job_spec &spec, duration left);

/// @brief Job from a message.
/// @param message Message.
/// @return Job.
[[nodiscard]] submission::job_spec from_wire(const wire::submission &message);

/// @brief Outcome as a message.
/// @param result Outcome.
/// @return Message.
[[nodiscard]] wire::outcome to_wire(const submission::outcome &result);

/// @brief Outcome from a message.
/// @param message Message.
/// @return Outcome.
[[nodiscard]] submission::outcome from_wire(const wire::outcome &message);

/// @brief Load of a pool as a message.
/// @param pool Pool.
/// @param load Load.
/// @return Message.
[[nodiscard]] wire::load_summary to_wire(const pool_id &pool, const placement::pool_load &load);

/// @brief Load of a pool from a message.
/// @param message Message.
/// @return Load.
[[nodiscard]] membership::reported_load from_wire(const wire::load_summary &message);

/// @brief Packs submission keys for the journal.
/// @param keys Keys.
/// @return 8 bytes for each key, least significant byte first.
[[nodiscard]] std::string pack_keys(const std::vector<std::uint64_t> &keys);

/// @brief Unpacks submission keys of the journal.
/// @param packed Packed keys; an incomplete last one is dropped.
/// @return Keys.
[[nodiscard]] std::vector<std::uint64_t> unpack_keys(const std::string &packed);

/// @brief Digest of everything in a job but its id and deadline.
/// @param spec Job.
/// @return Digest.
[[nodiscard]] std::uint64_t job_digest(const submission::job_spec &spec);

} // namespace heathermoor::host
