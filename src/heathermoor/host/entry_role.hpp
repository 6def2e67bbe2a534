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

/// @brief Callback for the answer to a request; called exactly once, from any thread.
using completion = std::function<void(reply)>;

/// @brief Request for the state of a submitted job, or for its cancellation.
struct job_query {
    customer_id customer;
    submission_id id;
    /// Time to wait for the outcome of a running job.
    duration wait{};
    /// Cancels the job instead of waiting for it.
    bool cancel{};
};

/// @brief Forwards callers' requests to the owners and matches the answers.
///
/// A request that finds no owner, reaches a host that is not the owner or gets no answer is sent again until it expires.
/// This is safe because an owner admits each id once. All public functions are thread-safe.
class entry_role {
  public:
    /// @brief Creates a role without requests.
    /// @param options Settings of the host; must outlive the role.
    /// @param control Finds owners; must outlive the role.
    /// @param out Sends messages; must outlive the role.
    entry_role(const settings &options, const control_role &control, messenger &out);

    /// @brief Submits a job to its owner.
    /// @param spec Job whose syntax was checked.
    /// @param done Receives the answer; called at once if the id cannot be parsed.
    /// @param now Monotonic time; the deadline counts from here.
    void submit(submission::job_spec spec, completion done, time_point now);

    /// @brief Requests the state of a job, or its cancellation, from its owner.
    /// @param query Job and kind of the request.
    /// @param done Receives the answer; called at once if the id cannot be parsed.
    /// @param now Monotonic time; the waiting time counts from here.
    void query_job(job_query query, completion done, time_point now);

    /// @brief Handles the answer of an owner; drops it if it matches no pending request to that host.
    /// @param message Message with the answer.
    /// @param now Monotonic time of receipt.
    void answered(const wire::envelope &message, time_point now);

    /// @brief Schedules the requests that were sent to a lost host to be sent again.
    /// @param host Lost host.
    /// @param now Monotonic time.
    void host_lost(const host_id &host, time_point now);

    /// @brief Sends the requests that are due and answers those that have expired with an unknown outcome.
    /// @param now Monotonic time.
    void tick(time_point now);

    /// @brief Number of requests without an answer.
    /// @return Pending requests, whether sent or not.
    [[nodiscard]] std::size_t pending() const;

  private:
    struct request {
        submission::parsed_id id;
        wire::envelope message;
        completion done;
        time_point deadline;
        /// Time at which the caller is told that the outcome is unknown.
        time_point expires_at;
        time_point send_at;
        /// Delay before the next attempt to find an owner.
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
