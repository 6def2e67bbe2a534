#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/core/time.hpp"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heathermoor::feed {

/// @brief Record of a topic that keeps the newest record of each key.
struct keyed_record {
    log_offset offset{};
    std::string key;
    /// Missing if the key was removed.
    std::optional<std::string> value;
};

/// @brief How a read of a topic ended.
enum class read_result : std::uint8_t {
    done,
    /// The records asked for are no longer kept.
    history_lost,
    /// The store did not answer, or would not.
    failed,
};

/// @brief Part of a topic, as the store returned it.
struct topic_page {
    read_result result{read_result::failed};
    std::vector<keyed_record> records;
    /// Offset of the next record to be appended.
    log_offset end{};
    /// Key after which a further page of newest records begins; empty on the last page.
    std::string next_key;
};

/// @brief Reads one topic from the platform's store.
class topic_port : public interface {
  public:
    /// @brief Reads the newest record of each key. One page comes back as an event.
    /// @param after Key after which to begin; empty for the first page.
    virtual void read_newest(const std::string &after) = 0;

    /// @brief Reads records in order. One page comes back as an event.
    /// @param from First offset.
    /// @param wait How long the store may wait for a record.
    virtual void read_from(log_offset from, milliseconds wait) = 0;
};

/// @brief Receives what a topic holds.
class topic_listener : public interface {
  public:
    /// @brief Takes over records.
    /// @param records Records in order.
    /// @param next Offset of the next record to read.
    /// @param complete The records are the newest of all keys, not a part.
    virtual void topic_changed(const std::vector<keyed_record> &records, log_offset next, bool complete) = 0;

    /// @brief Notes whether the store answered.
    /// @param reachable True after an answer.
    virtual void topic_reachable(bool reachable) = 0;
};

/// @brief How a topic is followed.
struct poll_timing {
    /// Time between reads; zero to read on at once.
    milliseconds interval{};
    /// How long the store may wait for a record.
    milliseconds wait{};
};

/// @brief Follows a topic: newest records first, then changes, and again after lost history.
class topic_follower {
  public:
    /// @brief Follower that has read nothing.
    /// @param store Reads the topic.
    /// @param listener Receives what it holds.
    /// @param pace Pace.
    topic_follower(topic_port &store, topic_listener &listener, poll_timing pace) : m_store{store}, m_listener{listener}, m_pace{pace} {}

    /// @brief Changes the pace; a shorter one makes the next read due earlier.
    /// @param pace Pace.
    void set_timing(poll_timing pace) noexcept;

    /// @brief Sends the read that is due.
    /// @param now Current time.
    void tick(time_point now);

    /// @brief Handles the answer to a read.
    /// @param page Answer.
    /// @param now Current time.
    void answered(topic_page page, time_point now);

  private:
    void begin_snapshot();

    topic_port &m_store;
    topic_listener &m_listener;
    poll_timing m_pace;
    bool m_reading{};
    bool m_has_snapshot{};
    std::string m_after;
    std::vector<keyed_record> m_pages;
    log_offset m_next{};
    time_point m_due{};
    /// When the latest read was answered.
    time_point m_answered{};
    std::uint32_t m_failures{};
};

} // namespace heathermoor::feed
