#pragma once

#include "heathermoor/host/messenger.hpp"
#include "heathermoor/host/settings.hpp"
#include "heathermoor/port/ports.hpp"
#include <mutex>

namespace heathermoor::host {

/// @brief Connects the dispatcher, which runs tasks at this host's targets, with messages and ports.
///
/// All public functions are thread-safe.
class dispatch_role {
  public:
    /// @brief Creates a role without targets.
    /// @param options Settings of the host; must outlive the role.
    /// @param targets Starts and stops tasks; must outlive the role.
    /// @param out Sends reports to owners; must outlive the role.
    dispatch_role(const settings &options, port::target_port &targets, messenger &out);

    /// @brief Accepts tasks from an owner; declines them if the message is stale.
    /// @param message Message with the tasks of one job.
    /// @param now Monotonic time of receipt; deadlines count from here.
    void place(const wire::envelope &message, time_point now);

    /// @brief Stops the tasks of a job.
    /// @param message Message that names the job of its sender.
    /// @param now Monotonic time of receipt.
    void cancel(const wire::envelope &message, time_point now);

    /// @brief Handles the answer of a target and reports it to the owner.
    /// @param answer Answer to a started task.
    /// @param now Monotonic time of receipt.
    void answered(placement::target_answer answer, time_point now);

    /// @brief Drops the waiting tasks of a lost owner.
    /// @param owner Host of the owner.
    /// @param process Incarnation that was lost; tasks of later ones stay.
    void owner_lost(const host_id &owner, incarnation process);

    /// @brief Replaces the targets that this host serves.
    /// @param targets Targets assigned to this host.
    /// @param now Monotonic time.
    void set_targets(const std::vector<placement::target_info> &targets, time_point now);

    /// @brief Applies a configuration, with the customers' shares.
    /// @param current Configuration in force.
    void set_policy(const config::policy &current);

    /// @brief Declines all waiting tasks, so that their owners place them elsewhere.
    /// @param now Monotonic time.
    void drain(time_point now);

    /// @brief Expires and starts tasks, and returns waiting ones to their owners if other hosts have free slots.
    /// @param now Monotonic time.
    /// @param free_elsewhere Number of free slots on the other hosts for each pool.
    void tick(time_point now, const std::map<pool_id, std::uint32_t> &free_elsewhere);

    /// @brief Current load of this host.
    /// @return Load for each pool.
    [[nodiscard]] std::map<pool_id, placement::pool_load> load() const;

    /// @brief Number of tasks that wait or run on this host.
    /// @return Sum over all pools.
    [[nodiscard]] std::size_t active() const;

  private:
    void apply_effects(placement::dispatch_effects effects);

    const settings &m_options;
    port::target_port &m_targets;
    messenger &m_out;
    mutable std::mutex m_mutex;
    placement::dispatcher m_dispatcher;
};

} // namespace heathermoor::host
