#ifndef QUETZALLEAD_TESTS_TRANSPORT_RAWCONNECTION_H
#define QUETZALLEAD_TESTS_TRANSPORT_RAWCONNECTION_H

#include "absl/strings/string_view.h"
#include <cstddef>
#include <string>

namespace quetzallead {

/// A blocking TCP connection on loopback for tests, either dialled or
/// accepted. Reads wait for a generous limit.
class RawConnection {
public:
  /// Connects to 127.0.0.1:\p Port.
  static RawConnection dial(int Port);
  /// Owns \p Socket, which may be -1 for "none".
  explicit RawConnection(int Socket) : Descriptor(Socket) {}
  RawConnection(RawConnection &&Other) noexcept;
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;
  ~RawConnection() { close(); }

  bool isOpen() const { return Descriptor >= 0; }
  /// Sends everything; false if the other side is gone.
  bool send(absl::string_view Bytes);
  /// Reads until the bytes read since the last call contain \p Marker and
  /// returns everything up to its end; the rest is kept. On the end of the
  /// stream or the limit returns what there was.
  std::string readThrough(absl::string_view Marker);
  /// Reads \p Size bytes, fewer at the end of the stream.
  std::string readBytes(std::size_t Size);
  /// Reads one response: the header and as many bytes as it announces.
  std::string readResponse();
  /// Waits until the other side closes; false if the limit passes first.
  bool waitForEnd();
  /// Ends the connection with a reset instead of an orderly close.
  void reset();
  void close();

private:
  bool fill();

  int Descriptor;
  std::string Buffer;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_TRANSPORT_RAWCONNECTION_H
