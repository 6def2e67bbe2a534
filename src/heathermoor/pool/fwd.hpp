#pragma once

namespace heathermoor::pool {

struct run_statistics;
class order_port;
class answer_port;
struct gateway_ref;
class holder_listener;
class target_holder;
class scheduler;
struct candidate;
class job_forecast;
class run_time_estimator;
class size_ranking;
struct group_counts;

} // namespace heathermoor::pool
