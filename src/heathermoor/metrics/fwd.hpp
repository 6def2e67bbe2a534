#pragma once

namespace heathermoor::metrics {

class stall_detector;
class summary;
class text_page;
class work_clock;
class work_meter;
struct work_total;

} // namespace heathermoor::metrics
