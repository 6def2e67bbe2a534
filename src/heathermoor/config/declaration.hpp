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

/// @brief Schema version of declarations; the only one that is accepted.
inline constexpr int schema_version = 1;

/// @brief Maximum size of one YAML document, in bytes.
inline constexpr std::size_t max_document_bytes = 256U * 1024U;

/// @brief Kind of an error in a declaration.
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

/// @brief Error in a declaration and its position.
struct diagnostic {
    diagnostic_code what{};
    std::string file;
    /// Counted from 1.
    int line{};
    /// Counted from 1.
    int column{};
    /// Path of the field, such as `customers.dealer-01.share`; empty for the whole document.
    std::string field;
    /// Description of the allowed values; for `syntax`, the parser's message.
    std::string allowed;
};

/// @brief Snake-case name of a diagnostic code, as printed in diagnostics.
/// @param what Code to name.
/// @return Static string.
[[nodiscard]] std::string_view diagnostic_name(diagnostic_code what) noexcept;

/// @brief Formats a diagnostic for an operator: file:line:column, code, field and allowed values.
/// @param entry Diagnostic to format.
/// @return One line without a line break.
[[nodiscard]] std::string to_string(const diagnostic &entry);

/// @brief Kind (`template` or `service`) and name of an item.
struct item_key {
    std::string kind;
    std::string name;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the defaulted comparison for a null pointer
    friend auto operator<=>(const item_key &, const item_key &) = default;
};

/// @brief One YAML document of a declaration file, which declares one item.
struct declaration {
    item_key key;
    std::string file;
    /// Position of the document's first line in its file, counted from 0.
    int first_line{};
    std::string text;
};

/// @brief Splits a file into documents and checks syntax, schema, kind and name, and the field names of templates.
/// @param file File name for diagnostics.
/// @param text Content of the file; documents are separated by `---`.
/// @param diagnostics Every error found is appended here.
/// @return Documents with a valid kind and name.
[[nodiscard]] std::vector<declaration> read_declarations(const std::string &file, const std::string &text,
                                                         std::vector<diagnostic> &diagnostics);

/// @brief Returns the declaration of an item, or null if there is none.
using item_lookup = std::function<const declaration *(const item_key &)>;

/// @brief Resolves a service: substitutes its parameters in its template and reads the result.
/// @param source Declaration of the service.
/// @param find Lookup for the template.
/// @param diagnostics Every error found is appended here.
/// @return Service, to be used only if no diagnostic was added; null if a document cannot be read or the template is missing.
[[nodiscard]] std::shared_ptr<const service_policy> resolve_service(const declaration &source, const item_lookup &find,
                                                                    std::vector<diagnostic> &diagnostics);

/// @brief Reads the name of the template that a service uses.
/// @param source Declaration of the service.
/// @return Template name; empty if it is missing or malformed.
[[nodiscard]] std::string template_of(const declaration &source);

/// @brief Resolves all services.
/// @param items All declarations in force, by key.
/// @param diagnostics Every error found is appended here.
/// @return Policy with all services; incomplete if any diagnostic was added.
[[nodiscard]] policy resolve(const std::map<item_key, declaration> &items, std::vector<diagnostic> &diagnostics);

} // namespace heathermoor::config
