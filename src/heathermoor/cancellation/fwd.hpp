#pragma once

namespace heathermoor::cancellation {

struct notice;
class cancel_desk;
class cancel_relay;

} // namespace heathermoor::cancellation
