#pragma once

namespace heathermoor::membership {

struct peer;
class peer_table;

} // namespace heathermoor::membership
