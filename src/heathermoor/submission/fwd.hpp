#pragma once

namespace heathermoor::submission {

struct parsed_id;
class id_generator;
class owner_table;

} // namespace heathermoor::submission
