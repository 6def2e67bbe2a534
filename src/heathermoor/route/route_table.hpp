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

/// @brief Maps requests for a virtual host and path prefix to a queue.
struct route {
    /// Virtual host, without a port.
    std::string host;
    std::string path_prefix;
    job::queue_policy queue;

    friend bool operator==(const route &left, const route &right) noexcept {
        return left.host == right.host && left.path_prefix == right.path_prefix;
    }
};

/// @brief Limits on HTTP requests of callers.
struct request_limits {
    std::uint32_t header_bytes{16'384};
    std::uint32_t body_bytes{262'144};
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// @brief A complete version of the operators' configuration.
struct route_config {
    config_version version{};
    std::vector<route> routes;
    request_limits limits;
};

/// @brief Current routes; a version is only ever replaced by a newer one.
class route_table {
  public:
    /// @brief Applies a version, unless the current one is as new.
    /// @param config Complete configuration version.
    /// @return True if the version was applied.
    bool apply(route_config config);

    /// @brief Whether any version has been applied.
    /// @return False until the first call of `apply`.
    [[nodiscard]] bool configured() const noexcept { return m_configured; }

    /// @brief Current configuration version.
    /// @return Version, routes and limits; defaults if none has been applied.
    [[nodiscard]] const route_config &current() const noexcept { return m_config; }

    /// @brief Finds the route of a request: the longest matching path prefix on its virtual host.
    /// @param host Virtual host; a port after it is ignored.
    /// @param path Path of the request.
    /// @return Route, valid until the next `apply`; null if none matches.
    [[nodiscard]] const route *find(std::string_view host, std::string_view path) const;

  private:
    route_config m_config;
    std::unordered_map<std::string, std::vector<std::size_t>> m_by_host;
    bool m_configured{};
};

} // namespace heathermoor::route
