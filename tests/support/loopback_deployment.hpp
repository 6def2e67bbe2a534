#pragma once

#include "heathermoor/adapter/host_process.hpp"
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace heathermoor::test {

/// @brief Real entry host on loopback, with a fake platform and a fake target in the test process.
class loopback_deployment {
  public:
    /// @brief Starts platform, target and host, and publishes the declarations as the first configuration.
    /// @param documents YAML documents with declarations.
    /// @param pool Pool that the target belongs to.
    loopback_deployment(const std::vector<std::string> &documents, const std::string &pool);
    ~loopback_deployment();
    loopback_deployment(const loopback_deployment &) = delete;
    loopback_deployment &operator=(const loopback_deployment &) = delete;
    loopback_deployment(loopback_deployment &&) = delete;
    loopback_deployment &operator=(loopback_deployment &&) = delete;

    /// @brief Waits until the host is ready, serves every partition and knows the target's pool.
    /// @return False if that takes more than about 20 s.
    [[nodiscard]] bool wait_until_ready();

    /// @brief Sends a request with a bearer token to the host.
    /// @return Status and body; status zero if no response came.
    [[nodiscard]] std::pair<int, std::string> send(const std::string &method, const std::string &path, const std::string &body,
                                                   const std::string &token);

    /// @brief How often the target started a task, by its name `customer/submission/index`.
    [[nodiscard]] int starts(const std::string &task);

    /// @brief Sets how the target answers start requests: `run`, `refuse`, `fail`, `crossed` (names another task) or
    /// `truncated` (malformed body).
    void set_target_mode(const std::string &mode);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Reads a file by its path relative to the source tree.
[[nodiscard]] std::string read_source_file(const std::string &path);

} // namespace heathermoor::test
