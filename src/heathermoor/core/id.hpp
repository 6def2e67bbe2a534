#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace heathermoor {

/// @brief Strongly typed string identifier. Identifiers with different tags do not convert into each other.
/// @tparam Tag Tag type that distinguishes the kinds of identifier; may be incomplete.
template <typename Tag>
class basic_id {
  public:
    basic_id() = default;

    /// @brief Creates an identifier from a string; the string is not validated.
    /// @param value Identifier text; empty means no identifier.
    explicit basic_id(std::string value) : m_value{std::move(value)} {}

    /// @brief Identifier text.
    /// @return The string passed to the constructor; empty if default-constructed.
    [[nodiscard]] const std::string &str() const noexcept { return m_value; }

    /// @brief Whether the identifier is unset.
    /// @return True if the text is empty.
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison
    friend auto operator<=>(const basic_id &, const basic_id &) = default;

  private:
    std::string m_value;
};

using host_id = basic_id<struct host_tag>;
using failure_domain_id = basic_id<struct failure_domain_tag>;
using customer_id = basic_id<struct customer_tag>;
using service_id = basic_id<struct service_tag>;
using target_id = basic_id<struct target_tag>;
using submission_id = basic_id<struct submission_tag>;
using request_name = basic_id<struct request_tag>;
using pool_id = basic_id<struct pool_tag>;
using job_id = basic_id<struct job_tag>;
using queue_id = basic_id<struct queue_tag>;
using machine_id = basic_id<struct machine_tag>;

/// @brief Distinguishes successive processes that run under the same host name.
enum class incarnation : std::uint64_t {};

/// @brief One process of a host. The next process takes over the name of the host, but nothing else.
struct process_ref {
    host_id host;
    incarnation process{};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison
    friend auto operator<=>(const process_ref &, const process_ref &) = default;
};

/// @brief Number of a gateway's session with a leader; rises within a process with each change of leader, also back to an earlier one.
enum class gateway_session : std::uint64_t {};

/// @brief Ownership epoch of a partition: the log offset of the record that claimed it.
enum class epoch : std::uint64_t {};

/// @brief Position of a record in a stream of the log.
enum class log_offset : std::uint64_t {};

/// @brief Partition of the submission ids of one failure domain.
enum class partition_id : std::uint32_t {};

/// @brief Correlates a response with its request; unique within one process.
enum class correlation : std::uint64_t {};

/// @brief Identifies a job at its owner; unique within one process.
enum class job_handle : std::uint64_t {};

/// @brief Fencing token of a target's lease holder; the target ignores commands with a token lower than the highest it has seen.
enum class fencing_token : std::uint64_t {};

/// @brief Sequence number of one execution of a task; later executions have higher numbers.
enum class run_number : std::uint64_t {};

/// @brief Sequence number of a completed run in a target's list; restarts at one on each boot.
enum class end_number : std::uint64_t {};

/// @brief Identifies one boot of a target by its start time, in milliseconds since the Unix epoch.
enum class target_boot : std::int64_t {};

/// @brief Term during which one host is the leader that schedules the shared pool.
enum class leader_term : std::uint64_t {};

/// @brief Version of the operator-published configuration.
enum class config_version : std::uint64_t {};

/// @brief Converts an enumeration to its underlying integer, as `std::to_underlying` does in C++23.
/// @param value Enumeration value.
/// @return Same value in the underlying type.
template <typename Enum>
[[nodiscard]] constexpr auto raw(Enum value) noexcept {
    return static_cast<std::underlying_type_t<Enum>>(value);
}

} // namespace heathermoor

template <typename Tag>
struct std::hash<heathermoor::basic_id<Tag>> {
    [[nodiscard]] std::size_t operator()(const heathermoor::basic_id<Tag> &id) const noexcept { return std::hash<std::string>{}(id.str()); }
};
