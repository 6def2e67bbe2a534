#pragma once

#include "heathermoor/host/messenger.hpp"
#include "heathermoor/host/settings.hpp"
#include "heathermoor/port/ports.hpp"
#include <mutex>

namespace heathermoor::host {

/// @brief Runs the dispatcher and translates between it and the ports.
class dispatch_role {
  public:
    /// @brief Role without targets.
    /// @param options Settings of the host.
    /// @param targets Starts tasks.
    /// @param out Sends reports.
    dispatch_role(const settings &options, port::target_port &targets, messenger &out);

    /// @brief Takes tasks from an owner.
    /// @param message Message that holds them.
    /// @param now Current time.
    void place(const wire::envelope &message, time_point now);

    /// @brief Stops the tasks of a job.
    /// @param message Message that names it.
    /// @param now Current time.
    void cancel(const wire::envelope &message, time_point now);

    /// @brief Takes the answer of a target.
    /// @param answer Answer.
    /// @param now Current time.
    void answered(placement::target_answer answer, time_point now);

    /// @brief Drops the waiting tasks of a lost process.
    /// @param owner Host.
    /// @param process Incarnation.
    void owner_lost(const host_id &owner, incarnation process);

    /// @brief Sets the share of the targets.
    /// @param targets Targets.
    /// @param now Current time.
    void set_targets(const std::vector<placement::target_info> &targets, time_point now);

    /// @brief Sets the customers' claims.
    /// @param current Configuration.
    void set_policy(const config::policy &current);

    /// @brief Gives the waiting tasks back to their owners.
    /// @param now Current time.
    void drain(time_point now);

    /// @brief Expires, starts and gives back tasks.
    /// @param now Current time.
    /// @param free_elsewhere Free slots on the other hosts.
    void tick(time_point now, const std::map<pool_id, std::uint32_t> &free_elsewhere);

    /// @brief Load per pool.
    /// @return Load.
    [[nodiscard]] std::map<pool_id, placement::pool_load> load() const;

    /// @brief Number of tasks that wait or run.
    /// @return Tasks.
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
