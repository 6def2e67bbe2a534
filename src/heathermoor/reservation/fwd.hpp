#pragma once

namespace heathermoor::reservation {

class room_profile;
class plan;
class backfill;
class book;
struct request;
struct booking;
struct reservation_counts;

} // namespace heathermoor::reservation
