#pragma once

namespace heathermoor::election {

struct peer_state;
struct scope_member;
class claim_scope;
class leader_election;

} // namespace heathermoor::election
