#include "relay/MessageParser.h"
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace quetzallead {

namespace http = boost::beast::http;

/// Longest name and longest value of a field that the library holds: it keeps
/// the size, with two bytes of separators, in 16 bits, and throws beyond.
static constexpr std::size_t MaxFieldPartBytes =
    std::numeric_limits<std::uint16_t>::max() - 2;
/// Bytes of a field line besides its name and its value.
static constexpr std::size_t FieldSeparatorBytes = 4;
/// The last chunk of a body without the empty line that follows.
static constexpr boost::beast::string_view LastChunk = "0\r\n";
static constexpr std::size_t LineEndBytes = 2;
/// Largest part of an announced body that is allocated before it arrives.
static constexpr std::uint64_t MaxReservedBytes = std::uint64_t{1} << 20;

template <bool IsRequest>
MessageParser<IsRequest>::MessageParser(const MessageLimits &Limits)
    : HeadLimit(Limits.HeadBytes) {
  this->eager(true);
  this->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
      HeadLimit, std::numeric_limits<std::uint32_t>::max())));
  this->body_limit(Limits.BodyBytes);
}

template <bool IsRequest>
std::size_t MessageParser<IsRequest>::parse(Text Bytes, ErrorCode &EC) {
  std::size_t Offset = 0;
  while (Offset < Bytes.size() && !this->is_done()) {
    const Text Rest = Bytes.substr(Offset);
    // The library asserts that it gets five bytes when it goes on with the last
    // chunk, so it must not begin with fewer.
    if (this->is_header_done() && this->chunked() &&
        Rest.starts_with(LastChunk) &&
        Rest.size() < LastChunk.size() + LineEndBytes)
      break;
    const std::size_t Consumed =
        this->put(boost::asio::buffer(Rest.data(), Rest.size()), EC);
    Offset += Consumed;
    if (EC || Consumed == 0)
      break;
  }
  if (EC == http::error::need_more)
    EC = {};
  return Offset;
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_request_impl(http::verb Method,
                                               Text MethodName, Text Target,
                                               int Version, ErrorCode &) {
  if constexpr (IsRequest) {
    Parsed.target(Target);
    // The library throws for a method that it has no constant for.
    if (Method != http::verb::unknown)
      Parsed.method(Method);
    else
      Parsed.method_string(MethodName);
    Parsed.version(static_cast<unsigned>(Version));
  }
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_response_impl(int Status, Text Reason,
                                                int Version, ErrorCode &) {
  if constexpr (!IsRequest) {
    // Three digits, which the library's setter takes.
    Parsed.result(static_cast<unsigned>(Status));
    Parsed.reason(Reason);
    Parsed.version(static_cast<unsigned>(Version));
  }
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_field_impl(http::field Field, Text Name,
                                             Text Value, ErrorCode &EC) {
  if (HeadDone)
    TrailerBytes += Name.size() + Value.size() + FieldSeparatorBytes;
  if (Name.size() > MaxFieldPartBytes || Value.size() > MaxFieldPartBytes ||
      TrailerBytes > HeadLimit) {
    EC = http::error::header_limit;
    return;
  }
  Parsed.insert(Field, Name, Value);
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_header_impl(ErrorCode &) {
  HeadDone = true;
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_body_init_impl(
    const boost::optional<std::uint64_t> &Length, ErrorCode &) {
  Parsed.body().reserve(
      static_cast<std::size_t>(std::min(Length.value_or(0), MaxReservedBytes)));
}

template <bool IsRequest>
std::size_t MessageParser<IsRequest>::on_body_impl(Text Bytes, ErrorCode &) {
  Parsed.body().append(Bytes.data(), Bytes.size());
  return Bytes.size();
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_chunk_header_impl(std::uint64_t,
                                                    Text Extension,
                                                    ErrorCode &EC) {
  if (Extension.size() > HeadLimit)
    EC = http::error::header_limit;
}

template <bool IsRequest>
std::size_t MessageParser<IsRequest>::on_chunk_body_impl(std::uint64_t,
                                                         Text Bytes,
                                                         ErrorCode &EC) {
  return on_body_impl(Bytes, EC);
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_finish_impl(ErrorCode &) {}

template class MessageParser<true>;
template class MessageParser<false>;

} // namespace quetzallead
