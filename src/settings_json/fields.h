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

[[noreturn]] inline void throwFieldError(const std::string& field, const std::string& what) {
    throw FieldError(field + ": " + what);
}

inline const Json* findField(const Json& object, const char* name) {
    if (!object.is_object()) throwFieldError(name, "looked for in something that is no object");
    const auto it = object.find(name);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

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
inline int getInt(const Json& value, const char* name) {
    const std::int64_t wide = getInt64(value, name);
    if (wide < INT32_MIN || wide > INT32_MAX) throwFieldError(name, "out of range");
    return static_cast<int>(wide);
}
inline NodeId getNodeId(const Json& value, const char* name) {
    const std::int64_t wide = getInt64(value, name);
    if (wide < 0 || wide > UINT32_MAX) throwFieldError(name, "out of range");
    return static_cast<NodeId>(wide);
}
inline bool getBool(const Json& value, const char* name) {
    if (!value.is_boolean()) throwFieldError(name, "not true or false");
    return value.get<bool>();
}
inline std::string getString(const Json& value, const char* name) {
    if (!value.is_string()) throwFieldError(name, "not a string");
    return value.get<std::string>();
}
inline const Json& getArray(const Json& value, const char* name) {
    if (!value.is_array()) throwFieldError(name, "not a list");
    return value;
}

inline double getNumber(const Json& object, const char* name, double otherwise) {
    const Json* value = findField(object, name);
    return value == nullptr ? otherwise : getNumber(*value, name);
}
inline int getInt(const Json& object, const char* name, int otherwise) {
    const Json* value = findField(object, name);
    return value == nullptr ? otherwise : getInt(*value, name);
}
inline bool getBool(const Json& object, const char* name, bool otherwise) {
    const Json* value = findField(object, name);
    return value == nullptr ? otherwise : getBool(*value, name);
}
inline std::string getString(const Json& object, const char* name, const std::string& otherwise) {
    const Json* value = findField(object, name);
    return value == nullptr ? otherwise : getString(*value, name);
}
inline const Json& getObject(const Json& object, const char* name) {
    static const Json empty = Json::object();
    const Json* value = findField(object, name);
    if (value == nullptr) return empty;
    if (!value->is_object()) throwFieldError(name, "not an object");
    return *value;
}

template <typename Value>
Value parseEnum(const std::string& given, const char* name,
                std::initializer_list<std::pair<const char*, Value>> known) {
    for (const auto& [spelling, value] : known) {
        if (given == spelling) return value;
    }
    throwFieldError(name, "unknown word '" + given + "'");
}

}  // namespace limedrum::fields
