#pragma once

namespace heathermoor::pool {

struct experience;
class order_port;
class answer_port;
class holder_listener;
class target_holder;
class scheduler;

} // namespace heathermoor::pool
