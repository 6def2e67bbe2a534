#pragma once

namespace heathermoor::ownership {

struct partition_owner;
struct member;
class ownership_map;
class lease_evidence;
class keeper;

} // namespace heathermoor::ownership
