#include "heathermoor/lease/token_source.hpp"

#include <algorithm>

namespace heathermoor::lease {

fencing_token token_source::next(milliseconds unix_now) noexcept {
    m_last = std::max(unix_now + m_clock_offset, m_last + milliseconds{1});
    return fencing_token{(static_cast<std::uint64_t>(m_last.count()) << host_bits) | m_host_number};
}

void token_source::rejected() noexcept {
    m_clock_offset += m_step;
    m_step = std::min(m_step * 2, max_step);
}

} // namespace heathermoor::lease
