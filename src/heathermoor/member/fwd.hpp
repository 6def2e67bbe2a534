#pragma once

namespace heathermoor::member {

struct settings;
class member;

} // namespace heathermoor::member
