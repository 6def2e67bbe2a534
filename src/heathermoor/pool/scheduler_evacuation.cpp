#include "heathermoor/pool/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace heathermoor::pool {

namespace internal {

/// Whether a target could run a task of a step, now or once it is held and answers.
[[nodiscard]] bool could_run(const held_target &target, const service_id &service, const job::step &step) {
    const auto &entry = target.entry;
    const bool stays = !target.removed && !target.leaving && !entry.draining;
    const bool labelled =
        step.required_label.empty() || std::find(entry.labels.begin(), entry.labels.end(), step.required_label) != entry.labels.end();
    return stays && labelled && entry.service == service && step.need.fits(entry.capacity);
}

} // namespace internal

void scheduler::set_evacuated(std::set<failure_domain_id> domains) {
    m_holder.set_evacuated(std::move(domains));
    m_place_due = true;
}

void scheduler::set_uninformed(bool uninformed) noexcept {
    m_place_due = m_place_due || (m_uninformed && !uninformed);
    m_uninformed = uninformed;
}

bool scheduler::only_on_evacuated(const open_job &job) const {
    const auto only_evacuated = [&](const job::step &step) {
        bool evacuated = false;
        for(const auto &[id, target]: m_holder.targets()) {
            if(!internal::could_run(target, job.queue.service, step)) {
                continue;
            }
            if(!target.evacuated) {
                return false;
            }
            evacuated = true;
        }
        return evacuated;
    };
    return std::any_of(job.job.steps.begin(), job.job.steps.end(), only_evacuated);
}

} // namespace heathermoor::pool
