#ifndef QUETZALLEAD_RELAY_MESSAGEPARSER_H
#define QUETZALLEAD_RELAY_MESSAGEPARSER_H

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>

namespace quetzallead {

/// Limits on what the sender of a message may make its reader hold.
struct MessageLimits {
  /// Of the head, of the trailer and of the extension of a chunk, each.
  std::size_t HeadBytes = std::size_t{16} << 10;
  std::uint64_t BodyBytes = std::uint64_t{1} << 20;
};

/// Parses an HTTP/1 message of a peer. In contrast to the library's own parser
/// it reports what the library cannot hold by an error code, as any other
/// fault, and does not throw: a field that is too long for the library, or a
/// trailer or an extension over its limit, is error::header_limit.
template <bool IsRequest>
class MessageParser : public boost::beast::http::basic_parser<IsRequest> {
public:
  using Message =
      boost::beast::http::message<IsRequest, boost::beast::http::string_body>;

  explicit MessageParser(const MessageLimits &Limits);

  /// Parses as much of \p Bytes as it can and returns how much that is; the
  /// rest is to be passed again, with what follows it.
  std::size_t parse(boost::beast::string_view Bytes,
                    boost::beast::error_code &EC);

  const Message &message() const { return Parsed; }
  Message &message() { return Parsed; }
  /// Moves the message out of the parser.
  Message release() { return std::move(Parsed); }

private:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  // The library's names.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(boost::beast::http::verb Method, Text MethodName,
                       Text Target, int Version, ErrorCode &EC) override;
  void on_response_impl(int Status, Text Reason, int Version,
                        ErrorCode &EC) override;
  void on_field_impl(boost::beast::http::field Field, Text Name, Text Value,
                     ErrorCode &EC) override;
  void on_header_impl(ErrorCode &EC) override;
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                         ErrorCode &EC) override;
  std::size_t on_body_impl(Text Bytes, ErrorCode &EC) override;
  void on_chunk_header_impl(std::uint64_t Size, Text Extension,
                            ErrorCode &EC) override;
  std::size_t on_chunk_body_impl(std::uint64_t Left, Text Bytes,
                                 ErrorCode &EC) override;
  void on_finish_impl(ErrorCode &EC) override;
  // NOLINTEND(readability-identifier-naming)

  const std::size_t HeadLimit;
  Message Parsed;
  bool HeadDone = false;
  std::size_t TrailerBytes = 0;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

extern template class MessageParser<true>;
extern template class MessageParser<false>;

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_MESSAGEPARSER_H
