#pragma once

namespace heathermoor::gateway {

class caller_port;
class scheduler_port;
class gateway;
struct answer_origin;
struct leader_ref;

} // namespace heathermoor::gateway
