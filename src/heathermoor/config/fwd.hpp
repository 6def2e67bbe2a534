#pragma once

namespace heathermoor::config {

struct policy;
struct service_policy;
struct customer_policy;
class config_state;

} // namespace heathermoor::config
