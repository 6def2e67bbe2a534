#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/time.hpp"
#include "heathermoor/submission/id.hpp"
#include "heathermoor/submission/outcome.hpp"
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace heathermoor::submission {

/// @brief One task of a submitted job.
struct task_spec {
    request_name request;
    /// Run time declared by the client; zero if none.
    milliseconds size_hint{};
    std::string body;
};

/// @brief Submitted job that has passed syntax checks.
struct job_spec {
    customer_id customer;
    service_id service;
    submission_id id;
    /// Time remaining when the job reached this host.
    milliseconds deadline{};
    /// Digest of the job without its id and deadline; tells a resubmission from a different job under the same id.
    std::uint64_t digest{};
    std::vector<task_spec> tasks;
    /// Reason for which the host that received the request refuses the job; `ok` if none.
    errc refusal{errc::ok};
};

/// @brief Pending client request that receives the job's answer.
struct waiter {
    host_id host;
    correlation request{};

    friend bool operator==(const waiter &, const waiter &) = default;
};

/// @brief Limits and timeouts of an owner table.
struct owner_table_settings {
    /// How long the answer of a finished job is kept.
    duration retention{seconds{120}};
    /// How long the key of a dropped answer still prevents a second run.
    duration key_retention{seconds{1800}};
    /// Maximum number of such keys; the oldest are dropped first.
    std::size_t max_keys{1'000'000};
    /// Maximum estimated size of running jobs and retained answers; further submissions fail with `table_full`.
    std::size_t max_bytes{64U << 20U};
    /// Time after the deadline for which cancelled tasks may still report; not evaluated at present.
    duration settle_time{milliseconds{150}};
    /// How long a cancelled job waits for its dispatcher hosts to report whether any task started.
    duration cancel_grace{milliseconds{200}};
};

/// @brief Whether an admission must be recorded before tasks may start.
enum class record_rule : std::uint8_t {
    /// No record: the id is valid only in this process, so no other process can run it.
    none,
    /// A peer or the journal must store the id first, so that a successor does not run it again.
    required
};

/// @brief Ownership and load conditions that apply to a new submission.
struct admission {
    parsed_id parsed;
    record_rule record{record_rule::required};
    /// Reason to refuse a submission that the table does not know; `ok` to admit it.
    errc refusal{errc::ok};
    milliseconds retry_after{};
    /// Whether an earlier owner may have admitted an id that the table does not know.
    bool may_have_run{false};
    /// Whether the id is so old that its answer may already have been dropped.
    bool expired{false};
};

/// @brief Answer to send to one waiter.
struct answer {
    waiter to;
    outcome result;
    /// Whether the job is still running, so that a later lookup may find its outcome.
    bool running{false};
};

/// @brief Request to record an id, after which its job may start.
struct record_request {
    job_handle job{};
    std::uint64_t key{};
    partition_id partition{};
};

/// @brief Request to send a task to a dispatcher host.
struct placement_request {
    job_handle job{};
    std::uint32_t index{};
    std::uint32_t attempt{};
    /// Host that declined the previous attempt; empty for the first.
    host_id declined_by;
};

/// @brief Request to a dispatcher host to cancel all tasks of a job.
struct cancel_request {
    host_id host;
    job_handle job{};
};

/// @brief Final state of a job that was handed to the partition's next owner while it ran.
struct settled_job {
    std::uint64_t key{};
    customer_id customer;
    submission_id id;
    std::uint64_t digest{};
    partition_id partition{};
    outcome result;
};

/// @brief Actions that the caller of an owner table must carry out.
struct owner_effects {
    std::vector<answer> answers;
    std::vector<record_request> records;
    std::vector<placement_request> placements;
    std::vector<cancel_request> cancels;
    std::vector<settled_job> settled;
};

/// @brief Final state of a task as reported by its dispatcher host.
enum class task_report : std::uint8_t {
    /// The target ran the task and returned a result.
    done,
    /// The target ran the task and it failed.
    failed,
    /// It is not known whether the task ran.
    unknown,
    /// The task was not started and will not be.
    not_started
};

/// @brief Report on one attempt of a task.
struct task_result {
    std::uint32_t index{};
    std::uint32_t attempt{};
    task_report report{};
    errc code{errc::ok};
    std::string body;
};

/// @brief Table entry as transferred to the partition's next owner.
struct transferred_entry {
    std::uint64_t key{};
    std::string customer;
    std::string id;
    std::uint64_t digest{};
    partition_id partition{};
    bool running{};
    outcome result;
    /// Time since the entry last changed.
    duration age{};
};

/// @brief State machine for the submissions that one host owns.
///
/// A submission id is admitted at most once. A resubmission waits for the
/// running job or receives the retained answer; a refusal is final for its id.
/// The table performs no I/O: methods append the required actions to `effects`.
class owner_table {
  public:
    using size_type = std::size_t;

    /// @brief Creates an empty table.
    /// @param settings Limits and timeouts.
    /// @param first_handle First job handle; the tables of one host need disjoint ranges.
    explicit owner_table(owner_table_settings settings = {}, std::uint64_t first_handle = 1);

    /// @brief Admits or refuses a new submission, or joins one that the table knows.
    /// @param spec Submitted job; its deadline counts from `now`.
    /// @param conditions Conditions at `now`; they apply to a new submission only.
    /// @param to Waiter to answer.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void submit(job_spec spec, const admission &conditions, const waiter &to, time_point now, owner_effects &effects);

    /// @brief Starts a recorded job, or answers a refused one as not run.
    ///
    /// A refusal is recorded like an admission: the next owner must not run an
    /// id that this one has answered as not run.
    /// @param job Handle from the record request; ignored unless it still waits for its record.
    /// @param allowed Whether this host still owns the id; if not, the job is dropped and its outcome is unknown.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void recorded(job_handle job, bool allowed, time_point now, owner_effects &effects);

    /// @brief Drops a job whose id could not be recorded.
    ///
    /// The outcome is answered as unknown: this owner started nothing, but
    /// the next one may run the id.
    /// @param job Handle from the record request; ignored unless it still waits for its record.
    /// @param effects Actions for the caller are appended here.
    void record_failed(job_handle job, owner_effects &effects);

    /// @brief Stores the dispatcher host of a task, or fails the job if there is none.
    /// @param request Placement request that was carried out; ignored if outdated.
    /// @param host Host that received the task; empty if none is available.
    /// @param code Error to answer if `host` is empty.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void placed(const placement_request &request, const host_id &host, errc code, time_point now, owner_effects &effects);

    /// @brief Applies a report on a placed task.
    /// @param job Handle of the task's job; ignored if the job has been answered.
    /// @param result Report; ignored unless it is for the current attempt.
    /// @param retry Whether a task that was not started may be placed again.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void task_ended(job_handle job, task_result result, bool retry, time_point now, owner_effects &effects);

    /// @brief Marks the tasks that were placed on a lost host as unknown.
    /// @param host Dispatcher host whose process has failed or was replaced.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void host_lost(const host_id &host, time_point now, owner_effects &effects);

    /// @brief Cancels a job; a finished job is answered with its outcome.
    /// @param customer Customer that submitted the job.
    /// @param id Submission id; answered with `not_found` if the table does not hold it.
    /// @param to Waiter to answer, in addition to those already waiting.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void cancel(const customer_id &customer, const submission_id &id, const waiter &to, time_point now, owner_effects &effects);

    /// @brief Answers with the outcome of a job without submitting it.
    /// @param customer Customer that submitted the job.
    /// @param id Submission id; answered with `not_found` if the table knows neither a job nor a barred key.
    /// @param wait How long to wait for a running job; zero to answer `still_running` at once.
    /// @param to Waiter to answer.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void lookup(const customer_id &customer, const submission_id &id, duration wait, const waiter &to, time_point now,
                owner_effects &effects);

    /// @brief Applies deadlines and lookup timeouts, and drops expired answers and keys.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void tick(time_point now, owner_effects &effects);

    /// @brief Bars an id that an earlier owner may have run; it is answered with `outcome_lost`.
    /// @param key Key from `submission_key`.
    /// @param now Monotonic time of the call.
    void mark_may_have_run(std::uint64_t key, time_point now);

    /// @brief Copies the entries of a partition for its next owner.
    ///
    /// Entries stay in this table; running ones are reported in `settled` when they finish.
    /// @param partition Partition of the own failure domain.
    /// @param now Monotonic time of the call.
    /// @return Running and finished entries, sorted by key; host-issued ids are not included.
    [[nodiscard]] std::vector<transferred_entry> export_partition(partition_id partition, time_point now);

    /// @brief Lists keys that must not run again and whose answers are not retained.
    /// @return Keys, oldest first.
    [[nodiscard]] std::vector<std::uint64_t> barred_keys() const;

    /// @brief Imports an entry, or the outcome of an imported entry that was running.
    /// @param entry Entry exported by the previous owner.
    /// @param from Host of the previous owner, where a running job continues.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void import_entry(transferred_entry entry, const host_id &from, time_point now, owner_effects &effects);

    /// @brief Finishes imported entries with `outcome_lost` if the previous owner that runs them is lost.
    /// @param from Host of the previous owner.
    /// @param now Monotonic time of the call.
    /// @param effects Actions for the caller are appended here.
    void fail_imported(const host_id &from, time_point now, owner_effects &effects);

    /// @brief Finds the specification of an unfinished job.
    /// @param job Handle of the job.
    /// @return Specification, or null if the job has been answered; invalidated by any change to the table.
    [[nodiscard]] const job_spec *find(job_handle job) const;

    /// @brief Deadline of an unfinished job.
    /// @param job Handle of the job.
    /// @return Deadline; a default-constructed time point if the job has been answered.
    [[nodiscard]] time_point deadline(job_handle job) const;

    /// @brief Parsed id of an unfinished job.
    /// @param job Handle of the job.
    /// @return Parsed id, or null if the job has been answered; invalidated by any change to the table.
    [[nodiscard]] const parsed_id *parsed(job_handle job) const;

    /// @brief Number of unfinished jobs.
    /// @return Count, including jobs that wait for a record and jobs that run at a previous owner.
    [[nodiscard]] size_type running() const noexcept { return m_running; }

    /// @brief Number of entries.
    /// @return Count of unfinished jobs and retained answers; barred keys are not included.
    [[nodiscard]] size_type size() const noexcept { return m_entries.size(); }

    /// @brief Estimated size of all entries, as compared with `max_bytes`.
    /// @return Size in bytes.
    [[nodiscard]] size_type bytes() const noexcept { return m_bytes; }

  private:
    /// `remote`: the job runs at the partition's previous owner. `cancelling`: it waits for reports from cancelled tasks.
    enum class job_state : std::uint8_t { recording, running, cancelling, finished, remote };
    enum class task_state : std::uint8_t { waiting, placed, done, failed, unknown, not_started };

    struct task_entry {
        task_state state{task_state::waiting};
        std::uint32_t attempt{};
        host_id host;
        std::string result;
    };

    struct entry {
        job_spec spec;
        parsed_id parsed;
        std::uint64_t key{};
        job_handle handle{};
        job_state state{job_state::recording};
        time_point deadline;
        /// Time of the entry's pending timer: the job's deadline, then the end of the cancellation grace period.
        time_point timer_at;
        time_point changed;
        errc first_error{errc::ok};
        /// Reason to refuse the job once its id is recorded; `ok` if it may start.
        errc refusal{errc::ok};
        milliseconds retry_after{};
        std::vector<task_entry> tasks;
        /// Tasks without a final state.
        size_type unfinished_tasks{};
        /// Whether the next owner of the partition holds a copy and needs the outcome.
        bool exported{};
        std::vector<waiter> waiters;
        outcome result;
        size_type bytes{};
    };

    using entry_ptr = std::unique_ptr<entry>;

    [[nodiscard]] static std::string key_text(const customer_id &customer, const submission_id &id);
    [[nodiscard]] entry *find_entry(const customer_id &customer, const submission_id &id);
    [[nodiscard]] entry *find_job(job_handle job) const;
    void join(entry &job, std::uint64_t digest, const waiter &to, owner_effects &effects) const;
    void start(entry &job, owner_effects &effects);
    void fail(entry &job, errc code, time_point now, owner_effects &effects);
    void finish_if_settled(entry &job, time_point now, owner_effects &effects);
    void finish(entry &job, outcome result, time_point now, owner_effects &effects);
    void add_timer(entry &job, time_point at);
    void proceed(entry &job, time_point now, owner_effects &effects);
    void forget(entry &job, errc code, owner_effects &effects);
    void bar_key(std::uint64_t key, errc code, time_point now);
    entry &add_entry(job_spec spec, parsed_id parsed, std::uint64_t key, time_point now);
    [[nodiscard]] outcome make_outcome(const entry &job) const;

    owner_table_settings m_settings;
    std::uint64_t m_next_handle;
    std::unordered_map<std::string, entry_ptr> m_entries;
    std::unordered_map<std::uint64_t, entry *> m_jobs;
    /// Keys that must not run again, each with the error to answer.
    std::unordered_map<std::uint64_t, errc> m_barred;
    std::deque<std::pair<time_point, std::uint64_t>> m_barred_order;
    std::deque<std::pair<time_point, std::string>> m_retained;
    std::set<std::pair<time_point, std::uint64_t>> m_timers;
    struct timed_waiter {
        time_point at;
        std::string key;
        waiter to;
    };
    std::vector<timed_waiter> m_lookups;
    size_type m_bytes{};
    size_type m_running{};
};

} // namespace heathermoor::submission
