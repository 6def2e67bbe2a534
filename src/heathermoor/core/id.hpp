#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace heathermoor {

/// @brief Name of one kind of entity; names of different kinds do not mix.
/// @tparam Tag Type that tells the kinds apart.
template <typename Tag>
class basic_id {
  public:
    basic_id() = default;

    /// @brief Wraps a name.
    /// @param value Text of the name.
    explicit basic_id(std::string value) : m_value{std::move(value)} {}

    /// @brief Text of the name.
    /// @return The text as given.
    [[nodiscard]] const std::string &str() const noexcept { return m_value; }

    /// @brief Whether no name was given.
    /// @return True for the empty name.
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
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

/// @brief Distinguishes successive processes that use one host name.
enum class incarnation : std::uint64_t {};

/// @brief Offset of the log record by which a partition was taken.
enum class epoch : std::uint64_t {};

/// @brief Position of a record in a stream of the log.
enum class log_offset : std::uint64_t {};

/// @brief Slice of the submission ids of one failure domain.
enum class partition_id : std::uint32_t {};

/// @brief Matches an answer to its request; unique within one process.
enum class correlation : std::uint64_t {};

/// @brief Names a job at its owner; unique within one process.
enum class job_handle : std::uint64_t {};

/// @brief Token of a holder of a target; the target ignores orders with a lower one than it has seen.
enum class fencing_token : std::uint64_t {};

/// @brief Number of one run of a task; later runs have higher numbers.
enum class run_number : std::uint64_t {};

/// @brief Number of an ended run in a target's list; counts from one in each boot.
enum class end_number : std::uint64_t {};

/// @brief Tells the boots of one target apart: its start in milliseconds since the Unix epoch.
enum class target_boot : std::int64_t {};

/// @brief Period in which one host schedules the shared pool.
enum class leader_term : std::uint64_t {};

/// @brief Version of the operators' configuration.
enum class config_version : std::uint64_t {};

/// @brief Underlying number of a strong integer.
/// @param value Strong integer.
/// @return The same value as a plain integer.
template <typename Enum>
[[nodiscard]] constexpr auto raw(Enum value) noexcept {
    return static_cast<std::underlying_type_t<Enum>>(value);
}

} // namespace heathermoor

template <typename Tag>
struct std::hash<heathermoor::basic_id<Tag>> {
    [[nodiscard]] std::size_t operator()(const heathermoor::basic_id<Tag> &id) const noexcept { return std::hash<std::string>{}(id.str()); }
};
