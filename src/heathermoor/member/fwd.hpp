#pragma once

namespace heathermoor::member {

struct settings;
class member;
class pause_guard;

} // namespace heathermoor::member
