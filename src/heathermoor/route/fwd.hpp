#pragma once

namespace heathermoor::route {

struct route;
struct route_config;
class route_table;

} // namespace heathermoor::route
