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

/// @brief Task as submitted.
struct task_spec {
    request_name request;
    milliseconds size_hint{};
    std::string body;
};

/// @brief Job as submitted, after its syntax was checked.
struct job_spec {
    customer_id customer;
    service_id service;
    submission_id id;
    /// Time left when the job reached this host.
    milliseconds deadline{};
    /// Digest of everything in the job but its id and deadline.
    std::uint64_t digest{};
    std::vector<task_spec> tasks;
    /// Set if the entry host found a reason to refuse the job.
    errc refusal{errc::ok};
};

/// @brief Where an answer goes.
struct waiter {
    host_id host;
    correlation request{};

    friend bool operator==(const waiter &, const waiter &) = default;
};

/// @brief Bounds of an owner table.
struct owner_table_settings {
    /// Time for which a finished answer is kept.
    duration retention{seconds{120}};
    /// Time for which the key of a forgotten answer still bars a new run.
    duration key_retention{seconds{1800}};
    /// Most keys of forgotten answers.
    std::size_t max_keys{1'000'000};
    /// Most bytes of retained answers and running jobs.
    std::size_t max_bytes{64U << 20U};
    /// Time after the deadline for which cancelled tasks may still report.
    duration settle_time{milliseconds{150}};
    /// Time for which a failing job waits to learn whether any task started.
    duration cancel_grace{milliseconds{200}};
};

/// @brief How an admission must be recorded before tasks may start.
enum class record_rule : std::uint8_t {
    /// The id dies with this process: no record is needed.
    none,
    /// A peer or the journal must hold the id first.
    required
};

/// @brief Conditions under which a submission is admitted.
struct admission {
    parsed_id parsed;
    record_rule record{record_rule::required};
    /// Reason to refuse a submission that was not seen before.
    errc refusal{errc::ok};
    milliseconds retry_after{};
    /// Whether an id that was not seen may have been admitted by an earlier owner.
    bool may_have_run{false};
    /// Whether the id is too old to be told from a forgotten one.
    bool expired{false};
};

/// @brief Answer on its way to a waiter.
struct answer {
    waiter to;
    outcome result;
    bool running{false};
};

/// @brief Id that must be recorded before its job may start.
struct record_request {
    job_handle job{};
    std::uint64_t key{};
    partition_id partition{};
};

/// @brief Task that a dispatcher host should get.
struct placement_request {
    job_handle job{};
    std::uint32_t index{};
    std::uint32_t attempt{};
    /// Host that declined the task before; empty for a first attempt.
    host_id declined_by;
};

/// @brief Request to a dispatcher host to stop all tasks of a job.
struct cancel_request {
    host_id host;
    job_handle job{};
};

/// @brief Final state of a job that a successor must learn.
struct settled_job {
    std::uint64_t key{};
    customer_id customer;
    submission_id id;
    std::uint64_t digest{};
    partition_id partition{};
    outcome result;
};

/// @brief What an owner table wants done.
struct owner_effects {
    std::vector<answer> answers;
    std::vector<record_request> records;
    std::vector<placement_request> placements;
    std::vector<cancel_request> cancels;
    std::vector<settled_job> settled;
};

/// @brief State of one task as a dispatcher host reports it.
enum class task_report : std::uint8_t {
    /// The target ran the task and gave a result.
    done,
    /// The target ran the task and it failed.
    failed,
    /// It is not known whether the task ran.
    unknown,
    /// The task was not and will not be started.
    not_started
};

/// @brief Final state of a task.
struct task_result {
    std::uint32_t index{};
    std::uint32_t attempt{};
    task_report report{};
    errc code{errc::ok};
    std::string body;
};

/// @brief Submission as it moves to another owner.
struct transferred_entry {
    std::uint64_t key{};
    std::string customer;
    std::string id;
    std::uint64_t digest{};
    partition_id partition{};
    bool running{};
    outcome result;
    duration age{};
};

/// @brief Submissions of the ids that one host owns.
///
/// Every submission is admitted at most once; a resubmission joins the running
/// job or gets the retained answer. A refusal is final for its submission id.
class owner_table {
  public:
    using size_type = std::size_t;

    /// @brief Empty table.
    /// @param settings Bounds.
    /// @param first_handle First job handle; tables of one host use distinct ranges.
    explicit owner_table(owner_table_settings settings = {}, std::uint64_t first_handle = 1);

    /// @brief Admits, joins or refuses a submission.
    /// @param spec Job as submitted.
    /// @param conditions Conditions as of this moment.
    /// @param to Where the answer goes.
    /// @param now Current time.
    /// @param effects What is to be done.
    void submit(job_spec spec, const admission &conditions, const waiter &to, time_point now, owner_effects &effects);

    /// @brief Starts a job whose id was recorded, or refuses it as not run.
    ///
    /// A refusal is recorded like an admission, since the next owner must not
    /// run an id of which this one said that it will not run.
    /// @param job Job.
    /// @param allowed Whether this host still owns the id.
    /// @param now Current time.
    /// @param effects What is to be done.
    void recorded(job_handle job, bool allowed, time_point now, owner_effects &effects);

    /// @brief Forgets a job whose id could not be recorded.
    ///
    /// Its callers learn that the outcome is unknown: this owner started
    /// nothing, but the next one may run the id.
    /// @param job Job.
    /// @param effects What is to be done.
    void record_failed(job_handle job, owner_effects &effects);

    /// @brief Notes the dispatcher host of a task.
    /// @param request Task.
    /// @param host Host that the task was sent to; empty if there is none.
    /// @param code Reason if there is no host.
    /// @param now Current time.
    /// @param effects What is to be done.
    void placed(const placement_request &request, const host_id &host, errc code, time_point now, owner_effects &effects);

    /// @brief Takes the final state of a task.
    /// @param job Job.
    /// @param result State of the task; an older attempt is ignored.
    /// @param retry Whether a task that was not started may be placed again.
    /// @param now Current time.
    /// @param effects What is to be done.
    void task_ended(job_handle job, task_result result, bool retry, time_point now, owner_effects &effects);

    /// @brief Gives up the tasks that a lost host was running.
    /// @param host Host that failed or was replaced.
    /// @param now Current time.
    /// @param effects What is to be done.
    void host_lost(const host_id &host, time_point now, owner_effects &effects);

    /// @brief Cancels a job.
    /// @param customer Customer of the job.
    /// @param id Submission id.
    /// @param to Where the answer goes.
    /// @param now Current time.
    /// @param effects What is to be done.
    void cancel(const customer_id &customer, const submission_id &id, const waiter &to, time_point now, owner_effects &effects);

    /// @brief Finds a job without submitting it.
    /// @param customer Customer of the job.
    /// @param id Submission id.
    /// @param wait Time for which to wait for a running job.
    /// @param to Where the answer goes.
    /// @param now Current time.
    /// @param effects What is to be done.
    void lookup(const customer_id &customer, const submission_id &id, duration wait, const waiter &to, time_point now,
                owner_effects &effects);

    /// @brief Applies deadlines and forgets old answers.
    /// @param now Current time.
    /// @param effects What is to be done.
    void tick(time_point now, owner_effects &effects);

    /// @brief Notes an id that an earlier owner may have run.
    /// @param key Key of the submission.
    /// @param now Current time.
    void mark_may_have_run(std::uint64_t key, time_point now);

    /// @brief Copies the entries of a partition for its next owner.
    /// @param partition Partition.
    /// @param now Current time.
    /// @return Entries, running ones included.
    [[nodiscard]] std::vector<transferred_entry> export_partition(partition_id partition, time_point now);

    /// @brief Keys that must not run again and have no retained answer.
    /// @return Keys.
    [[nodiscard]] std::vector<std::uint64_t> barred_keys() const;

    /// @brief Takes over an entry, or the final state of one that was running.
    /// @param entry Entry of the previous owner.
    /// @param from Previous owner.
    /// @param now Current time.
    /// @param effects What is to be done.
    void import_entry(transferred_entry entry, const host_id &from, time_point now, owner_effects &effects);

    /// @brief Gives up entries that still run at a lost previous owner.
    /// @param from Previous owner.
    /// @param now Current time.
    /// @param effects What is to be done.
    void fail_imported(const host_id &from, time_point now, owner_effects &effects);

    /// @brief Job as submitted.
    /// @param job Job.
    /// @return Job and the time left, or nothing if the job has ended.
    [[nodiscard]] const job_spec *find(job_handle job) const;

    /// @brief Deadline of a running job.
    /// @param job Job.
    /// @return Deadline; the origin if the job has ended.
    [[nodiscard]] time_point deadline(job_handle job) const;

    /// @brief Parsed id of a running job.
    /// @param job Job.
    /// @return Place of the id, or nothing if the job has ended.
    [[nodiscard]] const parsed_id *parsed(job_handle job) const;

    /// @brief Number of jobs that have not been answered.
    /// @return Jobs.
    [[nodiscard]] size_type running() const noexcept { return m_running; }

    /// @brief Number of submissions known, running or retained.
    /// @return Submissions.
    [[nodiscard]] size_type size() const noexcept { return m_entries.size(); }

    /// @brief Bytes held, as counted against the bound.
    /// @return Bytes.
    [[nodiscard]] size_type bytes() const noexcept { return m_bytes; }

  private:
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
        time_point decide_by;
        time_point changed;
        errc first_error{errc::ok};
        /// Set if the job is refused once its id is recorded.
        errc refusal{errc::ok};
        milliseconds retry_after{};
        std::vector<task_entry> tasks;
        size_type unsettled{};
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
    void settle(entry &job, time_point now, owner_effects &effects);
    void finish(entry &job, outcome result, time_point now, owner_effects &effects);
    void add_timer(entry &job, time_point at);
    void proceed(entry &job, time_point now, owner_effects &effects);
    void forget(entry &job, errc code, owner_effects &effects);
    void bar_key(std::uint64_t key, errc code, time_point now);
    entry &add_entry(job_spec spec, parsed_id parsed, std::uint64_t key, time_point now);
    [[nodiscard]] outcome summarise(const entry &job) const;

    owner_table_settings m_settings;
    std::uint64_t m_next_handle;
    std::unordered_map<std::string, entry_ptr> m_entries;
    std::unordered_map<std::uint64_t, entry *> m_jobs;
    /// Keys that must not run again, with the error to answer.
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
