#pragma once

namespace heathermoor::evacuation {

struct evacuation_request;
struct evacuation_change;
class evacuation_state;

} // namespace heathermoor::evacuation
