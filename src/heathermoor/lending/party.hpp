#pragma once

#include "heathermoor/core/id.hpp"
#include <tuple>

namespace heathermoor::lending {

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
