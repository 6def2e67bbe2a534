#pragma once

namespace heathermoor::trace {

struct record;
struct explanation;
class breakdown;

} // namespace heathermoor::trace
