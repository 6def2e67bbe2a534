#pragma once

namespace heathermoor::catalog {

struct target_entry;
class target_catalog;

} // namespace heathermoor::catalog
