#pragma once

namespace heathermoor::lease {

class clock_bounds;
class target_ledger;
class token_source;
struct target_report;

} // namespace heathermoor::lease
