#pragma once

#include "heathermoor/lending/borrow_book.hpp"
#include "heathermoor/lending/loan_book.hpp"
#include "heathermoor/lending/room_board.hpp"
#include <map>
#include <set>
#include <vector>

namespace heathermoor::member {

/// @brief What a leader knows of the leaders of other cells to which it lends, or from which it borrows.
struct lending_state {
    /// Latest message of a leader about lending.
    struct peer {
        leader_term term{};
        std::int64_t last_sent_us{};
        time_point heard_at{};
        time_point listed_at{};
    };

    lending::room_board rooms;
    lending::loan_book loans;
    lending::borrow_book borrowed;
    std::map<process_ref, peer> peers;
    /// Jobs that are about to be lent: when their gateways were told so, and which of them have noted it.
    struct notice {
        time_point sent_at{};
        std::set<pool::gateway_ref> noted;
    };

    std::map<job_id, notice> notices;
    /// Loans that are to be sent.
    std::map<lending::party, std::vector<pool::submission>> outgoing;
    /// Leaders that have asked for room, and when.
    std::map<lending::party, time_point> askers;
    /// When room elsewhere was first needed, without an interruption, and last.
    time_point pressed_since{};
    time_point pressed_at{};
    time_point asked_at{};
};

} // namespace heathermoor::member
