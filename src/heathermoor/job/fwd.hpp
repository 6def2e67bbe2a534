#pragma once

namespace heathermoor::job {

struct step;
struct definition;
struct queue_policy;
struct answer;
struct task_ref;

} // namespace heathermoor::job
