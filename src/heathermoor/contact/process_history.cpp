#include "heathermoor/contact/process_history.hpp"

#include <algorithm>

namespace heathermoor::contact {

namespace internal {

/// Earlier processes of a host whose late messages are recognised.
constexpr std::size_t remembered_processes = 4;

/// Silence of the present process after which a process that was taken for an earlier one is accepted: a living process sends
/// several messages in it.
constexpr seconds silence_limit{3};

} // namespace internal

bool process_history::accept(const process_ref &sender, time_point now) {
    auto &known = m_hosts[sender.host];
    if(sender.process != known.present) {
        const bool earlier = std::find(known.earlier.begin(), known.earlier.end(), sender.process) != known.earlier.end();
        if(earlier && now - known.heard_at < internal::silence_limit) {
            return false;
        }
        replace(known, sender.process);
    }
    known.heard_at = now;
    return true;
}

bool process_history::left(const process_ref &sender, time_point now) {
    auto &known = m_hosts[sender.host];
    const bool present = known.present == sender.process || known.present == incarnation{};
    if(!present) {
        return false;
    }
    known.present = sender.process;
    replace(known, incarnation{});
    known.heard_at = now;
    return true;
}

void process_history::replace(known_processes &known, incarnation process) {
    std::erase(known.earlier, process);
    if(known.present != incarnation{}) {
        known.earlier.push_back(known.present);
    }
    if(known.earlier.size() > internal::remembered_processes) {
        known.earlier.pop_front();
    }
    known.present = process;
}

} // namespace heathermoor::contact
