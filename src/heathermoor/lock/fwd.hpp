#pragma once

namespace heathermoor::lock {

struct acquire_request;
struct addressed_reply;
struct cancelled_job;
struct holder_ref;
struct lock_reply;
struct release_request;
class home_map;
class lock_client;
class lock_table;

} // namespace heathermoor::lock
