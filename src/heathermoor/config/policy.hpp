#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace heathermoor::config {

/// @brief Settings of one request of a service.
struct request_policy {
    /// Declares that the request must run at most once, even where other tasks may be repeated.
    bool never_repeat{};
    /// Maximum time for a task of this request; zero to use the service's limit.
    milliseconds deadline{};
};

/// @brief Access and share of a customer in a service.
struct customer_policy {
    /// SHA-256 of the customer's token, in lower-case hexadecimal.
    std::string credential_sha256;
    /// Requests that the customer may send.
    std::set<request_name> requests;
    /// Weight in fair queueing, relative to the other customers.
    double share{1.0};
    /// Maximum number of slots in use per host and pool; zero for no limit.
    std::uint32_t cap{};
};

/// @brief One service with the parameters of its template substituted.
struct service_policy {
    service_id name;
    pool_id pool;
    std::map<request_name, request_policy> requests;
    std::map<customer_id, customer_policy> customers;
    /// Deadline of jobs that name none.
    milliseconds default_deadline{2000};
    milliseconds max_deadline{60'000};
    /// Expected run time from which a task counts as long.
    milliseconds long_task{1000};
    /// Percentage of the slots that long tasks may hold while short ones are expected.
    std::uint32_t long_slots_percent{60};
};

/// @brief Resolved configuration, as hosts apply it.
struct policy {
    /// Offset of the record that produced this policy.
    log_offset offset{};
    /// Services in force; successive policies share the services that a change does not affect.
    std::map<service_id, std::shared_ptr<const service_policy>> services;
};

} // namespace heathermoor::config
