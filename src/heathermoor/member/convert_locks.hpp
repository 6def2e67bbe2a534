#pragma once

#include "heathermoor/cancellation/notice.hpp"
#include "heathermoor/lock/lock.hpp"
#include "heathermoor/lock/lock_client.hpp"
#include "heathermoor/wire/heathermoor.pb.h"
#include <optional>
#include <vector>

namespace heathermoor::member {

/// @brief Adds a request for a lock to a message.
/// @param message Message to extend.
/// @param request Request.
void add(wire::pool_locks &message, const lock::acquire_request &request);

/// @brief Adds the release of a lock to a message.
/// @param message Message to extend.
/// @param request Release.
void add(wire::pool_locks &message, const lock::release_request &request);

/// @brief Adds a reply to a message.
/// @param message Message to extend.
/// @param reply Reply.
void add(wire::pool_locks &message, const lock::lock_reply &reply);

/// @brief Converts a request for a lock.
/// @param message Message as received.
/// @return Request; none if its time is out of range.
[[nodiscard]] std::optional<lock::acquire_request> from_wire(const wire::pool_lock_acquire &message);

/// @brief Converts the release of a lock.
/// @param message Message as received.
/// @return Release; an answer that is not final is left out.
[[nodiscard]] lock::release_request from_wire(const wire::pool_lock_release &message);

/// @brief Converts a reply.
/// @param message Message as received.
/// @return Reply; none if its state is unknown or an ended job has no final answer.
[[nodiscard]] std::optional<lock::lock_reply> from_wire(const wire::pool_lock_reply &message);

/// @brief Converts a notice of a cancelled job.
/// @param sent Notice.
/// @param message Message to fill.
void to_wire(const cancellation::notice &sent, wire::pool_cancel_notice &message);

/// @brief Converts notices of cancelled jobs.
/// @param messages Messages as received.
/// @return Notices; those whose age is out of range are left out.
[[nodiscard]] std::vector<cancellation::notice> from_wire(const google::protobuf::RepeatedPtrField<wire::pool_cancel_notice> &messages);

} // namespace heathermoor::member
