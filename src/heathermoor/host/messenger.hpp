#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/wire/heathermoor.pb.h"

namespace heathermoor::host {

/// @brief Addresses and sends messages for the roles of one host.
class messenger : public interface {
  public:
    /// @brief Sends a message.
    /// @param to Receiver; the own host is allowed.
    /// @param message Message without its header.
    virtual void send(const host_id &to, wire::envelope message) = 0;
};

} // namespace heathermoor::host
