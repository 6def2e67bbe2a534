#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace heathermoor::confirmation {

/// @brief Shared data of which a host keeps a copy.
enum class subject : std::uint8_t {
    configuration,
    target_list,
    host_list,
    count,
};

/// @brief Who can confirm that a host's copy is up to date.
enum class source : std::uint8_t {
    /// The platform's store, by answering this host's own read.
    store,
    /// Another host that has been confirmed itself.
    peer,
    count,
};

/// @brief Why a source is lost.
enum class loss : std::uint8_t {
    /// A read failed or was refused.
    failed,
    /// A read is not answered although its wait is over.
    overdue,
    /// A read is taken to be lost because of other evidence, such as a peer that knows more.
    suspected,
    /// The latest confirmation is older than the limit of its subject.
    expired,
};

inline constexpr auto subjects = static_cast<std::size_t>(subject::count);
inline constexpr auto sources = static_cast<std::size_t>(source::count);

/// @brief Name of a subject in logs and metrics.
/// @param what Any value but `subject::count`.
/// @return Name in snake case.
[[nodiscard]] constexpr std::string_view name_of(subject what) noexcept {
    constexpr std::array<std::string_view, subjects> names{"configuration", "target_list", "host_list"};
    return names.at(static_cast<std::size_t>(what));
}

/// @brief Name of a source in logs and metrics.
/// @param from Any value but `source::count`.
/// @return Name in snake case.
[[nodiscard]] constexpr std::string_view name_of(source from) noexcept {
    constexpr std::array<std::string_view, sources> names{"store", "peer"};
    return names.at(static_cast<std::size_t>(from));
}

/// @brief Age of a confirmation from which it no longer counts.
/// @param what Any value but `subject::count`.
/// @return Limit; for configuration and targets below the two seconds within which a change must be in force.
[[nodiscard]] constexpr duration limit_of(subject what) noexcept {
    constexpr std::array<milliseconds, subjects> limits{milliseconds{1'750}, milliseconds{1'750}, milliseconds{10'000}};
    return limits.at(static_cast<std::size_t>(what));
}

/// @brief What one source has confirmed of one subject.
struct confirmation_state {
    /// Time at which the copy was known to be up to date; empty if it never was.
    std::optional<time_point> as_of;
    /// Host that confirmed it; empty for the store.
    host_id peer;
    /// Time at which the source was lost; empty while it is not.
    std::optional<time_point> lost_at;
    /// Number of losses since the start.
    std::uint64_t losses{};
};

/// @brief Tracks when and by whom a host's copies were last confirmed; logs each source that is lost or regained.
class confirmation_monitor {
  public:
    /// @brief Records a confirmation; an older one than the latest of its source only shows that the source is there.
    /// @param what Subject whose copy is up to date.
    /// @param from Source of the confirmation.
    /// @param peer Host that confirms; empty for the store.
    /// @param as_of Time at which the copy was up to date, on this host's monotonic clock.
    /// @param now Reading of the monotonic clock.
    void confirm(subject what, source from, const host_id &peer, time_point as_of, time_point now);

    /// @brief Records that the store does not answer a read.
    /// @param what Subject of the read.
    /// @param why Reason; any but `loss::expired`.
    /// @param now Reading of the monotonic clock.
    void store_lost(subject what, loss why, time_point now);

    /// @brief Marks confirmations by peers as lost that are older than their limit.
    /// @param now Reading of the monotonic clock.
    /// @param expected False while no peer is expected to confirm, as on a leader: nothing is marked.
    void expire(time_point now, bool expected);

    /// @brief Latest time at which the copy was known to be up to date, from any source.
    /// @param what Subject.
    /// @return Monotonic time; empty if it was never confirmed.
    [[nodiscard]] std::optional<time_point> as_of(subject what) const noexcept;

    /// @brief Time since the copy was known to be up to date.
    /// @param what Subject.
    /// @param now Reading of the monotonic clock.
    /// @return Age; `duration::max()` if it was never confirmed.
    [[nodiscard]] duration age(subject what, time_point now) const noexcept;

    /// @brief Who confirmed the copy last.
    /// @param what Subject.
    /// @return Host, `store`, or an empty text if it was never confirmed.
    [[nodiscard]] std::string_view confirmed_by(subject what) const noexcept;

    /// @brief State of one source of a subject.
    /// @param what Subject.
    /// @param from Source.
    /// @return State as of the latest call.
    [[nodiscard]] const confirmation_state &state(subject what, source from) const noexcept;

  private:
    [[nodiscard]] confirmation_state &at(subject what, source from) noexcept;
    void lose(subject what, source from, std::string_view why, time_point now);

    std::array<std::array<confirmation_state, sources>, subjects> m_states{};
};

/// @brief Logs who confirmed each subject last, and how long ago.
/// @param monitor State of all subjects.
/// @param now Reading of the monotonic clock.
void log_confirmations(const confirmation_monitor &monitor, time_point now);

} // namespace heathermoor::confirmation
