#pragma once

namespace heathermoor::placement {

class run_time_model;
class scheduler;
class target_health;
class load_balancer;
class scheduling_policy;
class retry_budget;

} // namespace heathermoor::placement
