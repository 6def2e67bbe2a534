#pragma once

namespace heathermoor::feed {

struct keyed_record;
struct topic_page;
class topic_port;
class topic_follower;

} // namespace heathermoor::feed
