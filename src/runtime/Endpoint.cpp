#include "runtime/Endpoint.h"
#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include <boost/asio/ip/address.hpp>
#include <cstdint>

namespace quetzallead {

namespace asio = boost::asio;

Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &Text) {
  const absl::string_view View = Text;
  const std::size_t Colon = View.rfind(':');
  std::uint32_t Port = 0;
  constexpr std::uint32_t MaxPort = 65535;
  if (Colon != absl::string_view::npos &&
      absl::SimpleAtoi(View.substr(Colon + 1), &Port) && Port <= MaxPort) {
    absl::string_view Host = View.substr(0, Colon);
    absl::ConsumePrefix(&Host, "[");
    absl::ConsumeSuffix(&Host, "]");
    boost::system::error_code Fault;
    const auto Ip = asio::ip::make_address(std::string(Host), Fault);
    if (!Fault)
      return asio::ip::tcp::endpoint(Ip, static_cast<std::uint16_t>(Port));
  }
  return fail(ErrorCode::InvalidArgument,
              "an address must be ip:port or [ipv6]:port", Text);
}

} // namespace quetzallead
