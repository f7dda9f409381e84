// Typed access to the fields of JSON objects. Errors name the field.
//
// All functions throw FieldError if a field is missing or has the wrong type. The functions with a parameter
// `defaultValue` return it if the field is missing or null.
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

/// Thrown for a field that is missing or has an invalid value. The message begins with the field's name.
class FieldError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] inline void throwFieldError(const std::string& field, const std::string& problem) {
    throw FieldError(field + ": " + problem);
}

/// Returns the field, or null if it is missing or null. Throws FieldError if `object` is not an object.
inline const Json* findField(const Json& object, const char* name) {
    if (!object.is_object()) throwFieldError(name, "the value that should contain it is not an object");
    const auto it = object.find(name);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

/// Returns the field. Throws FieldError if it is missing or null.
inline const Json& requireField(const Json& object, const char* name) {
    const Json* value = findField(object, name);
    if (value == nullptr) throwFieldError(name, "missing");
    return *value;
}

inline double getNumber(const Json& value, const char* name) {
    if (!value.is_number()) throwFieldError(name, "not a number");
    return value.get<double>();
}
inline std::int64_t getInt64(const Json& value, const char* name) {
    if (!value.is_number_integer()) throwFieldError(name, "not a whole number");
    return value.get<std::int64_t>();
}
/// Throws FieldError if the value does not fit into 32 bits.
inline int getInt(const Json& value, const char* name) {
    const std::int64_t number = getInt64(value, name);
    if (number < INT32_MIN || number > INT32_MAX) throwFieldError(name, "out of range");
    return static_cast<int>(number);
}
/// Throws FieldError if the value does not fit into 32 bits or is negative.
inline NodeId getNodeId(const Json& value, const char* name) {
    const std::int64_t number = getInt64(value, name);
    if (number < 0 || number > UINT32_MAX) throwFieldError(name, "out of range");
    return static_cast<NodeId>(number);
}
inline bool getBool(const Json& value, const char* name) {
    if (!value.is_boolean()) throwFieldError(name, "not a boolean");
    return value.get<bool>();
}
inline std::string getString(const Json& value, const char* name) {
    if (!value.is_string()) throwFieldError(name, "not a string");
    return value.get<std::string>();
}
inline const Json& getArray(const Json& value, const char* name) {
    if (!value.is_array()) throwFieldError(name, "not an array");
    return value;
}

// Optional fields of an object.
inline double getNumber(const Json& object, const char* name, double defaultValue) {
    const Json* value = findField(object, name);
    return value == nullptr ? defaultValue : getNumber(*value, name);
}
inline int getInt(const Json& object, const char* name, int defaultValue) {
    const Json* value = findField(object, name);
    return value == nullptr ? defaultValue : getInt(*value, name);
}
inline bool getBool(const Json& object, const char* name, bool defaultValue) {
    const Json* value = findField(object, name);
    return value == nullptr ? defaultValue : getBool(*value, name);
}
inline std::string getString(const Json& object, const char* name, const std::string& defaultValue) {
    const Json* value = findField(object, name);
    return value == nullptr ? defaultValue : getString(*value, name);
}
/// Returns the field, or an empty object if it is missing or null.
inline const Json& getObject(const Json& object, const char* name) {
    static const Json empty = Json::object();
    const Json* value = findField(object, name);
    if (value == nullptr) return empty;
    if (!value->is_object()) throwFieldError(name, "not an object");
    return *value;
}

/// Returns the value whose spelling is `text`. Throws FieldError naming the field `name` if there is none.
template <typename Value>
Value parseEnum(const std::string& text, const char* name,
                std::initializer_list<std::pair<const char*, Value>> values) {
    for (const auto& [spelling, value] : values) {
        if (text == spelling) return value;
    }
    throwFieldError(name, "unknown word '" + text + "'");
}

}  // namespace limedrum::fields
