#pragma once

#include "heathermoor/membership/peer_table.hpp"
#include "heathermoor/placement/scheduling_policy.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include "heathermoor/wire/heathermoor.pb.h"

namespace heathermoor::host {

/// @brief Converts a job to its wire format.
/// @param spec Job.
/// @param time_left Time left until its deadline; cut to whole milliseconds, negative counts as zero.
/// @return Message with the time left instead of the deadline.
[[nodiscard]] wire::submission to_wire(const submission::job_spec &spec, duration time_left);

/// @brief Converts a job from its wire format.
/// @param message Message as received.
/// @return Job whose deadline is the time left when the message was sent.
[[nodiscard]] submission::job_spec from_wire(const wire::submission &message);

/// @brief Converts an outcome to its wire format.
/// @param result Outcome of a job.
/// @return Message.
[[nodiscard]] wire::outcome to_wire(const submission::outcome &result);

/// @brief Converts an outcome from its wire format.
/// @param message Message as received; a kind that is not known counts as `unknown`.
/// @return Outcome of a job.
[[nodiscard]] submission::outcome from_wire(const wire::outcome &message);

/// @brief Converts the load of a pool to its wire format.
/// @param pool Name of the pool.
/// @param load Load of the pool on this host.
/// @return Message.
[[nodiscard]] wire::load_summary to_wire(const pool_id &pool, const placement::pool_load &load);

/// @brief Converts the load of a pool from its wire format.
/// @param message Message as received.
/// @return Load of the pool on the sender.
[[nodiscard]] membership::reported_load from_wire(const wire::load_summary &message);

/// @brief Packs submission keys for a journal record.
/// @param keys Keys in any order.
/// @return 8 bytes for each key, least significant byte first.
[[nodiscard]] std::string pack_keys(const std::vector<std::uint64_t> &keys);

/// @brief Unpacks the submission keys of a journal record.
/// @param packed Packed keys; an incomplete last one is dropped.
/// @return Keys in their original order.
[[nodiscard]] std::vector<std::uint64_t> unpack_keys(const std::string &packed);

/// @brief Digest of the service and of the request names and bodies of a job.
/// @param spec Job; its id, deadline, customer and size hints do not enter the digest.
/// @return 64-bit digest, by which a resubmission with another content is recognized.
[[nodiscard]] std::uint64_t job_digest(const submission::job_spec &spec);

} // namespace heathermoor::host
