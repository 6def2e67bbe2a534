#pragma once

namespace heathermoor::port {

class peer_port;
class target_port;
class log_port;
class clock_port;

} // namespace heathermoor::port
