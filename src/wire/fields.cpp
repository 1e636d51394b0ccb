#include "wire/fields.hpp"

#include <cmath>

namespace thistlefold::wire {

std::string_view text(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

[[noreturn]] void failField(const char* field, const char* problem) {
  throw ParseError(std::string("field ") + field + ": " + problem);
}

const Value* find(const Value& fields, const char* name) {
  const auto it = fields.FindMember(name);
  return it == fields.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

const Value& requireField(const Value& fields, const char* name) {
  const Value* value = find(fields, name);
  if (value == nullptr) failField(name, "missing");
  return *value;
}

double asNumber(const Value& value, const char* name) {
  if (!value.IsNumber() || !std::isfinite(value.GetDouble())) failField(name, "a number is wanted");
  return value.GetDouble();
}

double number(const Value& fields, const char* name) { return asNumber(requireField(fields, name), name); }

double number(const Value& fields, const char* name, double defaultValue) {
  const Value* value = find(fields, name);
  return value == nullptr ? defaultValue : asNumber(*value, name);
}

int integer(const Value& fields, const char* name, std::optional<int> defaultValue) {
  const Value* value = find(fields, name);
  if (value == nullptr && defaultValue) return *defaultValue;
  const double read = value == nullptr ? number(fields, name) : asNumber(*value, name);
  if (std::abs(read) > 2e9 || read != std::floor(read)) failField(name, "a whole number is wanted");
  return static_cast<int>(read);
}

bool flag(const Value& fields, const char* name) {
  const Value* value = find(fields, name);
  if (value == nullptr) return false;
  if (!value->IsBool()) failField(name, "true or false is wanted");
  return value->GetBool();
}

std::string_view name(const Value& fields, const char* field) {
  const Value& value = requireField(fields, field);
  if (!value.IsString()) failField(field, "text is wanted");
  return text(value);
}

std::string_view name(const Value& fields, const char* field, std::string_view defaultValue) {
  return find(fields, field) == nullptr ? defaultValue : name(fields, field);
}

const Value& object(const Value& fields, const char* field) {
  static const Value empty(rapidjson::kObjectType);
  const Value* value = find(fields, field);
  if (value == nullptr) return empty;
  if (!value->IsObject()) failField(field, "an object is wanted");
  return *value;
}

const Value& array(const Value& fields, const char* field) {
  static const Value empty(rapidjson::kArrayType);
  const Value* value = find(fields, field);
  if (value == nullptr) return empty;
  if (!value->IsArray()) failField(field, "an array is wanted");
  return *value;
}

double element(const Value& list, rapidjson::SizeType index, const char* field, double defaultValue) {
  return index < list.Size() ? asNumber(list[index], field) : defaultValue;
}

std::uint32_t exchangeId(const Value& fields) {
  const Value& value = requireField(fields, "Exchange");
  if (!value.IsUint()) failField("Exchange", "a number below 2^32 is wanted");
  return value.GetUint();
}

}  // namespace thistlefold::wire
