#pragma once

namespace heathermoor::host {

class node;
class control_role;
class entry_role;
class owner_role;
class dispatch_role;
struct settings;

} // namespace heathermoor::host
