#pragma once

#include "heathermoor/config/policy.hpp"
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace heathermoor::config {

/// @brief Newest schema of declarations that this program reads.
inline constexpr int schema_version = 1;

/// @brief Largest document, in bytes.
inline constexpr std::size_t max_document_bytes = 256U * 1024U;

/// @brief What is wrong with a declaration.
enum class diagnostic_code : std::uint8_t {
    syntax,
    too_large,
    too_deep,
    anchors_not_allowed,
    duplicate_key,
    missing_field,
    unknown_field,
    wrong_type,
    out_of_range,
    unsupported_schema,
    unknown_reference,
    duplicate_item
};

/// @brief One error in a declaration and where it is.
struct diagnostic {
    diagnostic_code what{};
    std::string file;
    /// Counted from 1.
    int line{};
    /// Counted from 1.
    int column{};
    /// Path of the field, such as `customers.dealer-01.share`.
    std::string field;
    /// What is allowed in this place.
    std::string allowed;
};

/// @brief Snake-case name of a diagnostic code, as printed in diagnostics.
/// @param what Code to name.
/// @return Static string.
[[nodiscard]] std::string_view diagnostic_name(diagnostic_code what) noexcept;

/// @brief Formats a diagnostic for an operator: file:line:column, code, field and allowed values.
/// @param entry Diagnostic.
/// @return Line without a line break.
[[nodiscard]] std::string to_string(const diagnostic &entry);

/// @brief Kind and name of an item.
struct item_key {
    std::string kind;
    std::string name;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
    friend auto operator<=>(const item_key &, const item_key &) = default;
};

/// @brief One YAML document of a declaration file.
struct declaration {
    item_key key;
    std::string file;
    /// Line of the document's first line within its file, counted from 0.
    int first_line{};
    std::string text;
};

/// @brief Splits a file into its documents and checks their outer form.
/// @param file Name for diagnostics.
/// @param text Content of the file.
/// @param diagnostics Receives every error found.
/// @return Documents whose kind and name could be read.
[[nodiscard]] std::vector<declaration> read_declarations(const std::string &file, const std::string &text,
                                                         std::vector<diagnostic> &diagnostics);

/// @brief Finds the declaration of an item, or nothing if there is none.
using item_lookup = std::function<const declaration *(const item_key &)>;

/// @brief Fills the template in for one service.
/// @param source Declaration of the service.
/// @param find Finds the template.
/// @param diagnostics Receives every error found.
/// @return Service, or nothing if it could not be read.
[[nodiscard]] std::shared_ptr<const service_policy> resolve_service(const declaration &source, const item_lookup &find,
                                                                    std::vector<diagnostic> &diagnostics);

/// @brief Name of the template that a service uses.
/// @param source Declaration of the service.
/// @return Name; empty if it cannot be read.
[[nodiscard]] std::string template_of(const declaration &source);

/// @brief Fills the templates in for each service.
/// @param items All declarations in force, by key.
/// @param diagnostics Receives every error found.
/// @return Services; incomplete if there is any diagnostic.
[[nodiscard]] policy resolve(const std::map<item_key, declaration> &items, std::vector<diagnostic> &diagnostics);

} // namespace heathermoor::config
