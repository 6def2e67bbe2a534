#pragma once

#include "world.hpp"

namespace heathermoor::review {

/// @brief Plays a case in a deployment whose hosts are ready.
/// @return Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
using case_function = int (*)(world &, bool trouble);

/// @brief Another writer puts an entry with an unreadable key into the list of targets.
int play_foreign_entry(world &played, bool trouble);

/// @brief Crowds of callers stop just short of the end of requests made of many short fields.
int play_crowd(world &played, bool trouble);

/// @brief A copy of a cancelled job's request arrives after all hosts were restarted in turn.
int play_cancelled(world &played, bool trouble);

/// @brief Callers send requests of legal size that are made of very many short fields.
int play_long_lists(world &played, bool trouble);

/// @brief The leading host freezes for some seconds, while callers send jobs again that had no response.
int play_woken(world &played, bool trouble);

} // namespace heathermoor::review
