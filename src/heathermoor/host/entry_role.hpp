#pragma once

#include "heathermoor/host/control_role.hpp"
#include "heathermoor/host/messenger.hpp"
#include <functional>
#include <mutex>
#include <unordered_map>

namespace heathermoor::host {

/// @brief Answer to a caller; `running` is set while the job has no outcome yet.
struct reply {
    submission::outcome result;
    bool running{};
};

/// @brief Receives the answer to a call; called exactly once, from any thread.
using completion = std::function<void(reply)>;

/// @brief Question about a job that was submitted before.
struct job_query {
    customer_id customer;
    submission_id id;
    duration wait{};
    bool cancel{};
};

/// @brief Forwards callers' requests to the owners and matches the answers.
///
/// A request that finds no owner, or reaches a host that is not the owner, is
/// sent again until its deadline; this is safe because owners admit an id once.
class entry_role {
  public:
    /// @brief Role without requests.
    /// @param options Settings of the host.
    /// @param control Finds owners.
    /// @param out Sends messages.
    entry_role(const settings &options, const control_role &control, messenger &out);

    /// @brief Submits a job.
    /// @param spec Job.
    /// @param done Receives the answer.
    /// @param now Current time.
    void submit(submission::job_spec spec, completion done, time_point now);

    /// @brief Asks for the state of a job, or cancels it.
    /// @param query Question.
    /// @param done Receives the answer.
    /// @param now Current time.
    void query_job(job_query query, completion done, time_point now);

    /// @brief Takes the answer of an owner; unknown or repeated ones are dropped.
    /// @param message Message that holds it.
    /// @param now Current time.
    void answered(const wire::envelope &message, time_point now);

    /// @brief Sends requests again whose owner is gone.
    /// @param host Host that was lost.
    /// @param now Current time.
    void host_lost(const host_id &host, time_point now);

    /// @brief Sends what is due and gives up what is late.
    /// @param now Current time.
    void tick(time_point now);

    /// @brief Number of requests without an answer.
    /// @return Requests.
    [[nodiscard]] std::size_t pending() const;

  private:
    struct request {
        submission::parsed_id place;
        wire::envelope message;
        completion done;
        time_point deadline;
        time_point expires_at;
        time_point send_at;
        duration backoff{};
        /// Time after which an unanswered request is sent again.
        duration resend{};
        host_id sent_to;
    };

    void add(request item, std::error_code error, time_point now);
    void send_request(std::uint64_t key, time_point now);

    const settings &m_options;
    const control_role &m_control;
    messenger &m_out;
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, request> m_requests;
    std::uint64_t m_next;
};

} // namespace heathermoor::host
