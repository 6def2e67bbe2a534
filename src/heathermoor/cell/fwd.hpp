#pragma once

namespace heathermoor::cell {

struct cell_id;
class cell_plan;

} // namespace heathermoor::cell
