#pragma once

namespace heathermoor::election {

struct peer_state;
class leader_election;

} // namespace heathermoor::election
