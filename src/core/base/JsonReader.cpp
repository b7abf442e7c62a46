#include "core/base/JsonReader.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "core/base/NearestName.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static constexpr std::size_t MaxNameBytes = 64;
static constexpr int MaxPort = 65535;

static const json &emptyObject() {
  static const json Empty = json::object();
  return Empty;
}

static const json &nullValue() {
  static const json Null;
  return Null;
}

JsonReader::JsonReader(const json &Value, std::string ObjectPath,
                       JsonProblem &FirstProblem)
    : Object(&Value), Path(std::move(ObjectPath)), Problem(&FirstProblem) {
  if (Object->is_object())
    return;
  if (!*Problem)
    *Problem = Error{ErrorCode::InvalidArgument, "must be an object", Path};
  Object = &emptyObject();
}

bool JsonReader::has(absl::string_view Key) const {
  return Object->contains(std::string(Key));
}

std::string JsonReader::pathOf(absl::string_view Key) const {
  if (Path.empty())
    return std::string(Key);
  return absl::StrCat(Path, ".", Key);
}

void JsonReader::refuse(absl::string_view Key, std::string Message) {
  if (*Problem)
    return;
  *Problem = Error{ErrorCode::InvalidArgument, std::move(Message), pathOf(Key)};
}

void JsonReader::expect(absl::string_view Key) { Expected.emplace_back(Key); }

const json *JsonReader::required(absl::string_view Key) {
  expect(Key);
  auto Found = Object->find(std::string(Key));
  if (Found != Object->end())
    return &*Found;
  refuse(Key, "is missing");
  return nullptr;
}

std::string JsonReader::text(absl::string_view Key, std::size_t Least,
                             std::size_t Most,
                             std::optional<std::string> Default) {
  if (Default && !has(Key)) {
    expect(Key);
    return *Default;
  }
  const json *Value = required(Key);
  if (!Value)
    return std::string();
  const auto *Text = Value->get_ptr<const std::string *>();
  if (!Text) {
    refuse(Key, "must be a string");
    return std::string();
  }
  if (Text->size() < Least || Text->size() > Most) {
    refuse(Key, absl::StrCat("must have ", Least, " to ", Most, " bytes"));
    return std::string();
  }
  return *Text;
}

std::string JsonReader::name(absl::string_view Key) {
  std::string Text = text(Key, 1, MaxNameBytes);
  if (!isPlainName(Text))
    refuse(Key, "must begin with a letter or digit and hold only letters, "
                "digits, '.', '_' and '-'");
  return Text;
}

std::string JsonReader::address(absl::string_view Key,
                                std::optional<std::string> Default) {
  constexpr std::size_t MaxAddressBytes = 64;
  bool UsesDefault = Default && !has(Key);
  std::string Text = text(Key, 1, MaxAddressBytes, std::move(Default));
  if (!UsesDefault && !isSocketAddress(Text))
    refuse(Key, "must be \"ip:port\" with a numeric address");
  return Text;
}

std::int64_t JsonReader::integer(absl::string_view Key, std::int64_t Least,
                                 std::int64_t Most,
                                 std::optional<std::int64_t> Default) {
  if (Default && !has(Key)) {
    expect(Key);
    return *Default;
  }
  const json *Value = required(Key);
  if (!Value)
    return Least;
  if (!Value->is_number_integer()) {
    refuse(Key, "must be a whole number");
    return Least;
  }
  bool TooLarge =
      Value->is_number_unsigned() &&
      Value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  auto Number = TooLarge ? Most : Value->get<std::int64_t>();
  if (!TooLarge && Number >= Least && Number <= Most)
    return Number;
  refuse(Key, absl::StrCat("must be from ", Least, " to ", Most));
  return Least;
}

double JsonReader::number(absl::string_view Key, double Least, double Most,
                          std::optional<double> Default) {
  if (Default && !has(Key)) {
    expect(Key);
    return *Default;
  }
  const json *Value = required(Key);
  if (!Value)
    return Least;
  if (!Value->is_number()) {
    refuse(Key, "must be a number");
    return Least;
  }
  auto Number = Value->get<double>();
  if (Number >= Least && Number <= Most)
    return Number;
  refuse(Key, absl::StrCat("must be from ", Least, " to ", Most));
  return Least;
}

bool JsonReader::boolean(absl::string_view Key, std::optional<bool> Default) {
  if (Default && !has(Key)) {
    expect(Key);
    return *Default;
  }
  const json *Value = required(Key);
  if (!Value)
    return false;
  if (Value->is_boolean())
    return Value->get<bool>();
  refuse(Key, "must be true or false");
  return false;
}

Duration JsonReader::milliseconds(absl::string_view Key, Duration Least,
                                  Duration Most,
                                  std::optional<Duration> Default) {
  std::optional<double> DefaultNumber;
  if (Default)
    DefaultNumber = absl::ToDoubleMilliseconds(*Default);
  double Number = number(Key, absl::ToDoubleMilliseconds(Least),
                         absl::ToDoubleMilliseconds(Most), DefaultNumber);
  constexpr double MicrosecondsPerMillisecond = 1000;
  return absl::Microseconds(std::llround(Number * MicrosecondsPerMillisecond));
}

std::string JsonReader::choiceText(absl::string_view Key,
                                   const std::vector<std::string> &Names) {
  const json *Value = required(Key);
  if (!Value)
    return std::string();
  const auto *Text = Value->get_ptr<const std::string *>();
  if (Text && std::find(Names.begin(), Names.end(), *Text) != Names.end())
    return *Text;
  refuse(Key, absl::StrCat("must be one of ", absl::StrJoin(Names, ", ")));
  return std::string();
}

std::vector<std::string> JsonReader::texts(absl::string_view Key,
                                           std::size_t MostCount,
                                           std::size_t MostBytes) {
  std::vector<std::string> Texts;
  expect(Key);
  auto Found = Object->find(std::string(Key));
  if (Found == Object->end())
    return Texts;
  if (!Found->is_array() || Found->size() > MostCount) {
    refuse(Key,
           absl::StrCat("must be an array of at most ", MostCount, " strings"));
    return Texts;
  }
  for (const json &Element : *Found) {
    const auto *Text = Element.get_ptr<const std::string *>();
    if (!Text || Text->empty() || Text->size() > MostBytes) {
      refuse(absl::StrCat(Key, "[", Texts.size(), "]"),
             absl::StrCat("must be a string of 1 to ", MostBytes, " bytes"));
      return Texts;
    }
    Texts.push_back(*Text);
  }
  return Texts;
}

std::vector<JsonReader> JsonReader::objects(absl::string_view Key,
                                            std::size_t Least,
                                            std::size_t Most) {
  std::vector<JsonReader> Readers;
  const json *Value = required(Key);
  if (!Value)
    return Readers;
  if (!Value->is_array()) {
    refuse(Key, "must be an array");
    return Readers;
  }
  if (Value->size() < Least || Value->size() > Most) {
    refuse(Key, absl::StrCat("must have ", Least, " to ", Most, " elements"));
    return Readers;
  }
  for (const json &Element : *Value)
    Readers.emplace_back(
        Element, absl::StrCat(pathOf(Key), "[", Readers.size(), "]"), *Problem);
  return Readers;
}

JsonReader JsonReader::object(absl::string_view Key) {
  const json *Value = required(Key);
  return JsonReader(Value ? *Value : emptyObject(), pathOf(Key), *Problem);
}

JsonReader JsonReader::optionalObject(absl::string_view Key) {
  if (has(Key))
    return object(Key);
  expect(Key);
  return JsonReader(emptyObject(), pathOf(Key), *Problem);
}

const json &JsonReader::any(absl::string_view Key) {
  expect(Key);
  auto Found = Object->find(std::string(Key));
  return Found == Object->end() ? nullValue() : *Found;
}

void JsonReader::finish() {
  for (const auto &Item : Object->items()) {
    const std::string &Key = Item.key();
    if (std::find(Expected.begin(), Expected.end(), Key) != Expected.end())
      continue;
    std::string Nearest = nearestName(Key, Expected);
    if (Nearest.empty())
      refuse(Key, absl::StrCat("unknown key; known are ",
                               absl::StrJoin(Expected, ", ")));
    else
      refuse(Key, absl::StrCat("unknown key; did you mean \"", Nearest, "\"?"));
  }
}

bool isSocketAddress(absl::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == absl::string_view::npos)
    return false;
  std::string Host(Text.substr(0, Colon));
  absl::string_view PortText = Text.substr(Colon + 1);
  int Port = 0;
  const bool OnlyDigits =
      std::all_of(PortText.begin(), PortText.end(),
                  [](unsigned char C) { return absl::ascii_isdigit(C); });
  if (PortText.empty() || !OnlyDigits || !absl::SimpleAtoi(PortText, &Port) ||
      Port > MaxPort)
    return false;
  unsigned char Buffer[sizeof(in6_addr)];
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(),
                     Buffer) == 1;
  return inet_pton(AF_INET, Host.c_str(), Buffer) == 1;
}

bool isPlainName(absl::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes)
    return false;
  if (!absl::ascii_isalnum(static_cast<unsigned char>(Text[0])))
    return false;
  return std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
    return absl::ascii_isalnum(C) || C == '.' || C == '_' || C == '-';
  });
}

} // namespace quetzallead
