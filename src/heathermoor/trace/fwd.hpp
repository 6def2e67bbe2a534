#pragma once

namespace heathermoor::trace {

struct record;
struct story;
class breakdown;

} // namespace heathermoor::trace
