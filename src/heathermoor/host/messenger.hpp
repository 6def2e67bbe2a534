#pragma once

#include "heathermoor/core/id.hpp"
#include "heathermoor/core/interface.hpp"
#include "heathermoor/wire/heathermoor.pb.h"

namespace heathermoor::host {

/// @brief Interface through which the roles of one host send messages.
class messenger : public interface {
  public:
    /// @brief Fills in the header of a message and sends it.
    /// @param to Receiver; the own host is allowed.
    /// @param message Message; a receiver's incarnation that is already set stays.
    virtual void send(const host_id &to, wire::envelope message) = 0;
};

} // namespace heathermoor::host
