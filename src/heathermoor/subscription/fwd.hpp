#pragma once

namespace heathermoor::subscription {

class record_decoder;
class config_subscription;
class target_subscription;
class host_subscription;

} // namespace heathermoor::subscription
