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
    /// Share of the work that the host takes, by its size.
    double weight{1.0};
    /// Time between heartbeats.
    duration heartbeat{milliseconds{200}};
    /// Every how many heartbeats the hosts of other failure domains get one; their
    /// silence counts as death after as many times longer.
    std::uint32_t far_heartbeat_every{1};
    /// Time without a message after which a host counts as dead.
    duration heartbeat_timeout{milliseconds{1000}};
    /// Time after which an unanswered witness request falls back to the journal.
    duration witness_timeout{milliseconds{60}};
    /// Time between writes of the journal.
    duration journal_interval{milliseconds{200}};
    /// Time beyond the deadline after which the entry role gives an answer up.
    duration answer_margin{milliseconds{400}};
    /// Oldest clock echo with which a peer's tasks are accepted.
    duration message_age{milliseconds{2000}};
    /// Age up to which a host-issued id may be used for the first time.
    milliseconds mint_validity{60'000};
    /// Allowance for callers' clocks.
    milliseconds clock_skew{120'000};
    /// Records of the configuration stream after which a snapshot is due.
    std::uint64_t snapshot_interval{200};
    /// Number of locks over which submissions are spread.
    std::size_t owner_shards{8};
    submission::owner_table_settings table;
    ownership::partition_manager_settings partition_manager;
    placement::dispatcher_settings dispatch;
};

} // namespace heathermoor::host
