#ifndef QUETZALLEAD_TRANSPORT_PEER_CHECKEDPEERRESPONSE_H
#define QUETZALLEAD_TRANSPORT_PEER_CHECKEDPEERRESPONSE_H

#include "core/http/ResponseHead.h"
#include <string>
#include <websocketpp/common/memory.hpp>
#include <websocketpp/http/response.hpp>

namespace quetzallead {

/// The answer to a dial. Gives the library only the lines of a head that are
/// sound: it converts any number to its type of statuses.
class CheckedPeerResponse : public websocketpp::http::parser::response {
public:
  CheckedPeerResponse() { Head.MayUpgrade = true; }

  /// Throws the library's exception, which fails the dial.
  std::size_t consume(const char *Bytes, std::size_t Size) {
    if (!Head.Complete) {
      Unread.append(Bytes, Size);
      Unread.erase(0, addHeadLines(Head, Unread));
    }
    if (Head.Defect != ResponseDefect::None)
      throw websocketpp::http::exception(
          std::string(nameOf(ResponseDefectNames, Head.Defect)),
          websocketpp::http::status_code::bad_gateway);
    return websocketpp::http::parser::response::consume(Bytes, Size);
  }

private:
  ResponseHead Head;
  /// The beginning of the next line.
  std::string Unread;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PEER_CHECKEDPEERRESPONSE_H
