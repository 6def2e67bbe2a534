#pragma once

namespace heathermoor::submission {

struct parsed_id;
class id_minter;
class owner_table;

} // namespace heathermoor::submission
