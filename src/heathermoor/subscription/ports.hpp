#pragma once

#include "heathermoor/catalog/target_catalog.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/route/route_table.hpp"
#include <optional>
#include <string>

namespace heathermoor::subscription {

/// @brief Outcome of decoding a version of the configuration.
struct decoded_config {
    /// Configuration; empty if any part of it is malformed.
    std::optional<route::route_config> config;
    /// Version, also of a malformed configuration; zero if not even the version is readable.
    config_version version{};
    /// Field that is malformed, such as `routes.3`; empty if none is.
    std::string problem;
};

/// @brief Decodes the values of records on the platform's store.
class record_decoder : public interface {
  public:
    /// @brief Decodes a version of the configuration.
    /// @param value Value as stored.
    /// @return Configuration, or what is malformed; a version is never decoded in part.
    [[nodiscard]] virtual decoded_config decode_config(const std::string &value) const = 0;

    /// @brief Decodes the key of an operators' request to evacuate a failure domain; the value says no more.
    /// @param key Key of the record.
    /// @return Failure domain, empty if the key names none; no value for a key of another kind.
    [[nodiscard]] virtual std::optional<failure_domain_id> decode_evacuation(const std::string &key) const = 0;

    /// @brief Decodes an entry of the list of targets.
    /// @param key Key of the record, which names the target.
    /// @param value Value as stored.
    /// @return Entry; empty if it is malformed.
    [[nodiscard]] virtual std::optional<catalog::target_entry> decode_target(const std::string &key, const std::string &value) const = 0;
};

} // namespace heathermoor::subscription
