#pragma once

namespace heathermoor::adapter {

class loop_monitor;
class system_clock_port;
class zmq_peers;
class http_targets;
class platform_client;
class http_api;
class host_process;

} // namespace heathermoor::adapter
