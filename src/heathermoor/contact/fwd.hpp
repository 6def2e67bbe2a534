#pragma once

namespace heathermoor::contact {

struct due_contact;
struct known_host;
class contact_book;

} // namespace heathermoor::contact
