#pragma once

namespace heathermoor::contact {

struct due_heartbeat;
struct known_host;
class peer_directory;
class process_history;

} // namespace heathermoor::contact
