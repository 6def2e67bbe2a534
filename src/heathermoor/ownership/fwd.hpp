#pragma once

namespace heathermoor::ownership {

struct partition_owner;
struct member;
class ownership_map;
class ownership_lease;
class partition_manager;

} // namespace heathermoor::ownership
