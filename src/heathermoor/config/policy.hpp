#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace heathermoor::config {

/// @brief What the configuration says of one request of a service.
struct request_policy {
    /// The request must run at most once even where tasks could be repeated.
    bool never_repeat{};
    /// Longest time a task of this request may take; zero for the service's.
    milliseconds deadline{};
};

/// @brief What a customer may do in a service.
struct customer_policy {
    /// SHA-256 of the customer's token, in lower-case hexadecimal.
    std::string credential_sha256;
    std::set<request_name> requests;
    /// Slots guaranteed to the customer, as a weight against the others.
    double share{1.0};
    /// Most slots of one host's share of the pool; zero for no bound.
    std::uint32_t cap{};
};

/// @brief One service after its template was filled in.
struct service_policy {
    service_id name;
    pool_id pool;
    std::map<request_name, request_policy> requests;
    std::map<customer_id, customer_policy> customers;
    milliseconds default_deadline{2000};
    milliseconds max_deadline{60'000};
    /// Expected run time from which a task counts as long.
    milliseconds long_task{1000};
    /// Share of the slots that long tasks may hold while short ones are expected.
    std::uint32_t long_slots_percent{60};
};

/// @brief Everything that hosts need to know of the configuration.
struct policy {
    /// Offset of the last record that was applied.
    log_offset offset{};
    /// Services in force; a change shares those that it does not touch.
    std::map<service_id, std::shared_ptr<const service_policy>> services;
};

} // namespace heathermoor::config
