#pragma once

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

/// @brief Digest of everything in a job but its id and deadline.
/// @param spec Job.
/// @return Digest.
[[nodiscard]] std::uint64_t job_digest(const submission::job_spec &spec);

} // namespace heathermoor::host
