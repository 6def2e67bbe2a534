#pragma once

namespace heathermoor::gateway {

class caller_port;
class scheduler_port;
class gateway;

} // namespace heathermoor::gateway
