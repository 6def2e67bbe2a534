#pragma once

#include "arguments.hpp"

namespace heathermoor::ctl {

/// @brief Validates declaration files and prints all errors.
/// @param in Files and output format.
/// @return Exit code.
[[nodiscard]] int validate(const arguments &in);

/// @brief Publishes declaration files as one change, or shows what they would change.
/// @param in Files, platform, author and options of the change.
/// @param show_only Prints the differences and publishes nothing.
/// @return Exit code.
[[nodiscard]] int apply(const arguments &in, bool show_only);

/// @brief Lists the active configuration items, or prints one.
/// @param in Platform, and the item to print.
/// @return Exit code.
[[nodiscard]] int get(const arguments &in);

/// @brief Prints the audit trail of configuration changes.
/// @param in Platform and output format.
/// @return Exit code.
[[nodiscard]] int history(const arguments &in);

/// @brief Publishes the state after the record at an earlier offset as a new change, based on the current state.
/// @param in Platform, offset, author and options of the change.
/// @return Exit code.
[[nodiscard]] int rollback(arguments in);

} // namespace heathermoor::ctl
