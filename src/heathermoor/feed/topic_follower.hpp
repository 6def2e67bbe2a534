#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heathermoor::feed {

/// @brief Record of a compacted topic, which keeps the newest record of each key.
struct keyed_record {
    log_offset offset{};
    std::string key;
    /// Empty if the key was deleted.
    std::optional<std::string> value;
};

/// @brief Outcome of a read from a topic.
enum class read_result : std::uint8_t {
    done,
    /// The requested offsets have been compacted away.
    history_lost,
    /// The store did not answer or returned an error.
    failed,
};

/// @brief Identifies a read of one follower.
enum class read_id : std::uint64_t {};

/// @brief One page of a topic, as returned by the store.
struct topic_page {
    /// Read that the page answers.
    read_id read{};
    read_result result{read_result::failed};
    std::vector<keyed_record> records;
    /// End of the log: offset of the next record to be appended.
    log_offset end{};
    /// Key after which the next snapshot page begins; empty on the last page.
    std::string next_key;
};

/// @brief Reads one topic from the platform's store.
class topic_port : public interface {
  public:
    /// @brief Requests a page of the snapshot, the newest record of each key; the page arrives at `answered`.
    /// @param read Id to return with the page.
    /// @param after Key after which the page begins; empty for the first page.
    virtual void read_newest(read_id read, const std::string &after) = 0;

    /// @brief Requests records by offset; the page arrives at `answered`.
    /// @param read Id to return with the page.
    /// @param from First offset to read.
    /// @param wait Long poll: how long the store may wait for a new record; zero to answer at once.
    virtual void read_from(read_id read, log_offset from, milliseconds wait) = 0;
};

/// @brief Why a topic is not being read at present.
enum class read_problem : std::uint8_t {
    /// A read failed; the store was not reached or returned an error.
    failed,
    /// A read is not answered although its wait is over.
    overdue,
    /// Other evidence suggests that a read will never be answered.
    suspected,
};

/// @brief Receives the records of a topic.
class topic_listener : public interface {
  public:
    /// @brief Handles new records; called also for an empty page.
    /// @param records Records by offset.
    /// @param next Offset after the last record covered.
    /// @param complete The records are a full snapshot, not only changes.
    virtual void topic_changed(const std::vector<keyed_record> &records, log_offset next, bool complete) = 0;

    /// @brief Called after a read that reached the end of the topic.
    /// @param as_of Time at which the records passed so far were all that the topic had.
    virtual void topic_confirmed(time_point as_of) = 0;

    /// @brief Called when a read fails, and once when it is replaced because it is overdue or suspected.
    /// @param problem What is wrong.
    virtual void topic_unanswered(read_problem problem) = 0;
};

/// @brief Timing of the reads of a topic.
struct poll_timing {
    /// Time from an answer to the next read; zero to read again at once.
    milliseconds interval{};
    /// How long the store may wait for a new record; zero to answer at once.
    milliseconds wait{};
};

/// @brief Follows a topic: reads a snapshot, then changes by offset; starts over if history is lost.
///
/// A read that is overdue is replaced by a new one, which the port sends on another connection: the
/// first may wait on a dead connection, or for a store that never answers it. Its answer still counts.
class topic_follower {
  public:
    /// @brief Creates a follower whose first read is a snapshot.
    /// @param store Port for reads.
    /// @param listener Receives the records.
    /// @param timing Timing of reads after the snapshot.
    topic_follower(topic_port &store, topic_listener &listener, poll_timing timing)
        : m_store{store}, m_listener{listener}, m_timing{timing} {}

    /// @brief Changes the timing; a shorter interval makes the next read due earlier.
    /// @param timing Timing of reads after the snapshot.
    void set_timing(poll_timing timing) noexcept;

    /// @brief Starts the next read if it is due, or if the pending one is overdue.
    /// @param now Reading of the monotonic clock.
    void tick(time_point now);

    /// @brief Replaces the pending read with the next `tick`, unless it has only just started.
    /// @param now Reading of the monotonic clock.
    void suspect_read(time_point now);

    /// @brief Makes the next read due, if none is pending and the latest ended some time ago.
    /// @param now Reading of the monotonic clock.
    void read_soon(time_point now) noexcept;

    /// @brief When the read began whose answer counts.
    /// @return Monotonic time; empty if no read is pending.
    [[nodiscard]] std::optional<time_point> pending_since() const noexcept;

    /// @brief Handles the result of a read.
    /// @param page Page, or the error of the read.
    /// @param now Reading of the monotonic clock.
    void answered(topic_page page, time_point now);

  private:
    struct pending_read {
        read_id id{};
        time_point started;
        /// How long the store may wait before it answers.
        milliseconds wait{};
        bool snapshot{};
    };

    void start_read(time_point now);
    void replace_read(read_problem problem);
    void begin_snapshot();
    void read_failed(time_point now);
    void take_changes(const pending_read &read, const topic_page &page, time_point now);
    void take_snapshot(topic_page page, time_point now);

    topic_port &m_store;
    topic_listener &m_listener;
    poll_timing m_timing;
    read_id m_last_read{};
    /// Read whose answer determines when the next one is due.
    std::optional<pending_read> m_current;
    /// Earlier reads that were replaced and have not ended yet.
    std::vector<pending_read> m_replaced;
    bool m_has_snapshot{};
    /// When the first page of the pending snapshot was requested.
    time_point m_snapshot_started{};
    std::string m_after;
    std::vector<keyed_record> m_snapshot_records;
    log_offset m_next{};
    time_point m_due{};
    /// When the latest read ended.
    time_point m_answered_at{};
    std::uint32_t m_failures{};
    /// Reads replaced as overdue since the latest answer.
    std::uint32_t m_unanswered{};
};

} // namespace heathermoor::feed
