#pragma once

namespace heathermoor::placement {

class run_time_model;
class scheduler;
class target_health;
class spreader;
class task_policy;
class retry_budget;

} // namespace heathermoor::placement
