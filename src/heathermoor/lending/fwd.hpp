#pragma once

namespace heathermoor::lending {

class room_board;
class loan_book;
class borrow_book;
struct party;
struct borrowed_result;

} // namespace heathermoor::lending
