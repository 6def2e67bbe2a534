#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/lease/run_bounds.hpp"
#include <tuple>

namespace heathermoor::lending {

/// @brief Time from the last message of a lender after which none of the jobs lent with it can be active at the borrower.
///
/// The borrower starts and renews nothing for a lender that has not echoed it for `lease::host_confirmation_time`; what runs then
/// ends with its lease.
inline constexpr milliseconds lent_runs_end_time{lease::host_confirmation_time + lease::longest_unreachable_run};

/// @brief Leader of a cell, in one of its terms, that lends or borrows.
struct party {
    process_ref process;
    leader_term term{};

    friend bool operator==(const party &left, const party &right) { return left.process == right.process && left.term == right.term; }
    friend bool operator<(const party &left, const party &right) {
        return std::tie(left.process, left.term) < std::tie(right.process, right.term);
    }
};

} // namespace heathermoor::lending
