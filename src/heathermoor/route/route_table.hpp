#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/job/job.hpp"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace heathermoor::route {

/// @brief Entry that maps requests to a queue.
struct route {
    /// Name of the virtual host.
    std::string host;
    std::string path_prefix;
    job::queue_policy queue;

    friend bool operator==(const route &left, const route &right) noexcept {
        return left.host == right.host && left.path_prefix == right.path_prefix;
    }
};

/// @brief Bounds on what a caller may send.
struct request_limits {
    std::uint32_t header_bytes{16'384};
    std::uint32_t body_bytes{262'144};
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// @brief One version of the operators' configuration, complete.
struct route_config {
    config_version version{};
    std::vector<route> routes;
    request_limits limits;
};

/// @brief Routes in force; versions only rise.
class route_table {
  public:
    /// @brief Puts a version in force, unless the present one is as new.
    /// @param config Version.
    /// @return True if it is in force now.
    bool apply(route_config config);

    /// @brief Whether a version is in force.
    /// @return True after the first version.
    [[nodiscard]] bool configured() const noexcept { return m_configured; }

    /// @brief Version in force.
    /// @return Version and routes.
    [[nodiscard]] const route_config &current() const noexcept { return m_config; }

    /// @brief Route of a request: the longest prefix of its path on its virtual host.
    /// @param host Name of the virtual host; a port behind it is ignored.
    /// @param path Path of the request.
    /// @return Route, or null.
    [[nodiscard]] const route *find(std::string_view host, std::string_view path) const;

  private:
    route_config m_config;
    std::unordered_map<std::string, std::vector<std::size_t>> m_by_host;
    bool m_configured{};
};

} // namespace heathermoor::route
