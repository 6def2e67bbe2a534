#pragma once

namespace heathermoor::confirmation {

struct confirmation_state;
class confirmation_monitor;

} // namespace heathermoor::confirmation
