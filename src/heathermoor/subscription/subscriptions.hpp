#pragma once

#include "heathermoor/feed/topic_follower.hpp"
#include "heathermoor/member/member.hpp"
#include "heathermoor/subscription/ports.hpp"
#include <vector>

namespace heathermoor::subscription {

/// @brief Follows the operators' records on the store and passes each version of the configuration, and each request to evacuate a
/// failure domain, to the member.
///
/// A leader, or a host that no other one confirms, has the configuration confirmed by the store
/// about once a second. Other hosts wait for a change with one long read, which is replaced as soon as
/// their confirmation by peers expires or a peer knows a version that the read has not returned.
class config_subscription final : public feed::topic_listener {
  public:
    /// @brief Creates a subscription; the first read begins with the first `tick`.
    /// @param member Host that receives the versions; must outlive the subscription.
    /// @param topic Topic of the configuration.
    /// @param decoder Decoder of the records.
    config_subscription(member::member &member, feed::topic_port &topic, const record_decoder &decoder);

    /// @brief Starts the next read if it is due.
    /// @param now Reading of the monotonic clock.
    void tick(time_point now);

    /// @brief Handles the result of the pending read.
    /// @param page Page, or the error of the read.
    /// @param now Reading of the monotonic clock.
    void answered(feed::topic_page page, time_point now) { m_follower.answered(std::move(page), now); }

    /// @brief Latest version that was rejected as malformed, while an earlier one is in force.
    /// @return Version; empty once a later one was applied.
    [[nodiscard]] std::optional<config_version> rejected() const noexcept { return m_rejected; }

    /// @brief Number of versions that were rejected as malformed.
    /// @return Count since the start.
    [[nodiscard]] std::uint64_t rejections() const noexcept { return m_rejections; }

    void topic_changed(const std::vector<feed::keyed_record> &records, log_offset next, bool complete) override;
    void topic_confirmed(time_point as_of) override;
    void topic_unanswered(feed::read_problem problem) override;

  private:
    [[nodiscard]] milliseconds wait(time_point now) const;
    [[nodiscard]] bool read_is_suspect(time_point now) const;
    void reject(const decoded_config &decoded, log_offset offset);
    void pass_evacuations(const std::vector<feed::keyed_record> &records, log_offset next, bool complete);

    member::member &m_member;
    const record_decoder &m_decoder;
    feed::topic_follower m_follower;
    std::optional<config_version> m_rejected;
    std::uint64_t m_rejections{};
};

/// @brief Follows the list of targets on the store and passes its changes to the member.
class target_subscription final : public feed::topic_listener {
  public:
    /// @brief Creates a subscription; the first read begins with the first `tick`.
    /// @param member Host that receives the list; must outlive the subscription.
    /// @param topic Topic of the list.
    /// @param decoder Decoder of the records.
    target_subscription(member::member &member, feed::topic_port &topic, const record_decoder &decoder);

    /// @brief Starts the next read if it is due.
    /// @param now Reading of the monotonic clock.
    void tick(time_point now);

    /// @brief Handles the result of the pending read.
    /// @param page Page, or the error of the read.
    /// @param now Reading of the monotonic clock.
    void answered(feed::topic_page page, time_point now) { m_follower.answered(std::move(page), now); }

    void topic_changed(const std::vector<feed::keyed_record> &records, log_offset next, bool complete) override;
    void topic_confirmed(time_point as_of) override;
    void topic_unanswered(feed::read_problem problem) override;

  private:
    member::member &m_member;
    const record_decoder &m_decoder;
    feed::topic_follower m_follower;
};

/// @brief Follows the list of hosts on the store and passes new hosts to the member.
///
/// A host that another one confirms reads the list when that one knows a longer list.
class host_subscription final : public feed::topic_listener {
  public:
    /// @brief Creates a subscription; the first read begins with the first `tick`.
    /// @param member Host that receives the list; must outlive the subscription.
    /// @param topic Topic of the list.
    host_subscription(member::member &member, feed::topic_port &topic);

    /// @brief Starts the next read if it is due.
    /// @param now Reading of the monotonic clock.
    void tick(time_point now);

    /// @brief Handles the result of the pending read.
    /// @param page Page, or the error of the read.
    /// @param now Reading of the monotonic clock.
    void answered(feed::topic_page page, time_point now) { m_follower.answered(std::move(page), now); }

    void topic_changed(const std::vector<feed::keyed_record> &records, log_offset next, bool complete) override;
    void topic_confirmed(time_point as_of) override;
    void topic_unanswered(feed::read_problem problem) override;

  private:
    member::member &m_member;
    feed::topic_follower m_follower;
};

} // namespace heathermoor::subscription
