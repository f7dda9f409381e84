// Reads fields of a JSON object; what is missing or of the wrong kind is told by the field's name.
#pragma once

#include <limedrum/scheduler.h>

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

namespace limedrum::fields {

using Json = nlohmann::json;

/// A field that is missing or of the wrong kind; the text begins with its name.
class FieldError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] inline void complain(const std::string& field, const std::string& what) {
    throw FieldError(field + ": " + what);
}

inline const Json* find(const Json& object, const char* name) {
    if (!object.is_object()) complain(name, "looked for in something that is no object");
    const auto it = object.find(name);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

inline const Json& need(const Json& object, const char* name) {
    const Json* value = find(object, name);
    if (value == nullptr) complain(name, "missing");
    return *value;
}

inline double number(const Json& value, const char* name) {
    if (!value.is_number()) complain(name, "not a number");
    return value.get<double>();
}
inline std::int64_t whole(const Json& value, const char* name) {
    if (!value.is_number_integer()) complain(name, "not a whole number");
    return value.get<std::int64_t>();
}
inline int small(const Json& value, const char* name) {
    const std::int64_t wide = whole(value, name);
    if (wide < INT32_MIN || wide > INT32_MAX) complain(name, "out of range");
    return static_cast<int>(wide);
}
inline NodeId nodeId(const Json& value, const char* name) {
    const std::int64_t wide = whole(value, name);
    if (wide < 0 || wide > UINT32_MAX) complain(name, "out of range");
    return static_cast<NodeId>(wide);
}
inline bool truth(const Json& value, const char* name) {
    if (!value.is_boolean()) complain(name, "not true or false");
    return value.get<bool>();
}
inline std::string text(const Json& value, const char* name) {
    if (!value.is_string()) complain(name, "not a string");
    return value.get<std::string>();
}
inline const Json& list(const Json& value, const char* name) {
    if (!value.is_array()) complain(name, "not a list");
    return value;
}

inline double number(const Json& object, const char* name, double otherwise) {
    const Json* value = find(object, name);
    return value == nullptr ? otherwise : number(*value, name);
}
inline int small(const Json& object, const char* name, int otherwise) {
    const Json* value = find(object, name);
    return value == nullptr ? otherwise : small(*value, name);
}
inline bool truth(const Json& object, const char* name, bool otherwise) {
    const Json* value = find(object, name);
    return value == nullptr ? otherwise : truth(*value, name);
}
inline std::string text(const Json& object, const char* name, const std::string& otherwise) {
    const Json* value = find(object, name);
    return value == nullptr ? otherwise : text(*value, name);
}
inline const Json& part(const Json& object, const char* name) {
    static const Json empty = Json::object();
    const Json* value = find(object, name);
    if (value == nullptr) return empty;
    if (!value->is_object()) complain(name, "not an object");
    return *value;
}

template <typename Value>
Value word(const std::string& given, const char* name,
           std::initializer_list<std::pair<const char*, Value>> known) {
    for (const auto& [spelling, value] : known) {
        if (given == spelling) return value;
    }
    complain(name, "unknown word '" + given + "'");
}

}  // namespace limedrum::fields
