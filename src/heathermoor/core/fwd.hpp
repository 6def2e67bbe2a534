#pragma once

namespace heathermoor {

template <typename Tag>
class basic_id;

struct timeline;
enum class errc : int;

} // namespace heathermoor
