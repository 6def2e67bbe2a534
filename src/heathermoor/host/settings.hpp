#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/ownership/partition_manager.hpp"
#include "heathermoor/placement/dispatcher.hpp"
#include "heathermoor/submission/owner_table.hpp"
#include <string>
#include <vector>

namespace heathermoor::host {

/// @brief Settings of one host.
struct settings {
    host_id host;
    failure_domain_id domain;
    incarnation process{};
    /// All failure domains of the deployment, in the same order on every host.
    std::vector<failure_domain_id> domains;
    /// Failure domains with which loads are exchanged; all if empty.
    std::vector<failure_domain_id> neighbours;
    std::string peer_address;
    std::string http_address;
    /// Relative share of the work, in proportion to the size of the host.
    double weight{1.0};
    /// Time between heartbeats.
    duration heartbeat{milliseconds{200}};
    /// Hosts of other failure domains get every n-th heartbeat; their heartbeat timeout is n times longer. At least 1.
    std::uint32_t far_heartbeat_every{1};
    /// Time without a message after which a host counts as dead.
    duration heartbeat_timeout{milliseconds{1000}};
    /// Time without an answer of the witness after which an id is recorded in the journal.
    duration witness_timeout{milliseconds{60}};
    /// Time between writes of the journal while no job waits for it.
    duration journal_interval{milliseconds{200}};
    /// Time that the entry role waits beyond the deadline for an answer.
    duration answer_margin{milliseconds{400}};
    /// Maximum age of the clock echo in a peer's message; tasks in an older message are declined as stale.
    duration message_age{milliseconds{2000}};
    /// Age up to which an id that this process issued may be used for the first time.
    milliseconds mint_validity{60'000};
    /// Allowance for differences of the callers' wall clocks.
    milliseconds clock_skew{120'000};
    /// Records of the configuration stream after which a snapshot is due.
    std::uint64_t snapshot_interval{200};
    /// Number of shards, each with its own lock, over which submissions are spread; zero means 1.
    std::size_t owner_shards{8};
    submission::owner_table_settings table;
    ownership::partition_manager_settings partition_manager;
    placement::dispatcher_settings dispatch;
};

} // namespace heathermoor::host
