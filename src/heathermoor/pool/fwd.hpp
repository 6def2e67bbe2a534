#pragma once

namespace heathermoor::pool {

class order_port;
class answer_port;
class holder_listener;
class target_holder;
class scheduler;

} // namespace heathermoor::pool
