#ifndef QUETZALLEAD_TRANSPORT_HTTP_CURLTRANSFER_H
#define QUETZALLEAD_TRANSPORT_HTTP_CURLTRANSFER_H

#include "core/http/ResponseHead.h"
#include "transport/http/HttpClient.h"
#include <array>
#include <cstddef>
#include <functional>
#include <string>

struct curl_slist;

namespace quetzallead {

/// One exchange of an HttpClient: sets a libcurl easy handle up, collects the
/// response, and tells how far the request came. Belongs to one thread. The
/// easy handle is the caller's and must be reset before the transfer dies.
class CurlTransfer {
public:
  CurlTransfer(HttpClient::CallId TransferId, HttpCall Request,
               HttpClient::Completion OnDone);
  CurlTransfer(const CurlTransfer &) = delete;
  CurlTransfer &operator=(const CurlTransfer &) = delete;
  ~CurlTransfer();

  HttpClient::CallId id() const { return Id; }
  const std::string &address() const { return Call.Address; }
  /// The easy handle given to prepare(); null before.
  void *easy() const { return Easy; }
  /// Sets \p EasyHandle up for the call. False, with the reason in the outcome
  /// of fail(), if the call is malformed.
  bool prepare(void *EasyHandle);
  /// The outcome of a transfer that libcurl ended with \p CurlCode.
  HttpOutcome finish(int CurlCode);
  /// The outcome of a call that is ended here.
  HttpOutcome fail(TransferFailure Failure);
  /// Calls the completion. Call once.
  void complete(HttpOutcome Outcome);
  /// Called within a call of the library when the head that is being received
  /// is defective. The transfer must be ended after that call.
  std::function<void()> OnDefect;

private:
  static std::size_t onRead(char *Out, std::size_t Size, std::size_t Count,
                            void *Cls);
  static std::size_t onWrite(char *Data, std::size_t Size, std::size_t Count,
                             void *Cls);
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Cls);
  static int onDebug(void *Easy, int Type, char *Data, std::size_t Size,
                     void *Cls);
  static int onRequestStart(void *Cls, char *, char *, int, int);
  static int onOpenSocket(void *Cls, int Purpose, void *Address);

  void setHeaders();
  void setBody();
  /// Checks a line before the library interprets it.
  void checkHeadLine(absl::string_view Line);
  bool acceptHeaderLine(absl::string_view Line);
  bool acceptTrailerLine(absl::string_view Line);
  void acceptHeaderField(const FieldLine &Field);
  TransferFailure classify(int CurlCode) const;
  std::string describe(int CurlCode) const;

  const HttpClient::CallId Id;
  HttpCall Call;
  HttpClient::Completion Done;
  void *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  std::string Url;
  std::size_t BodyGiven = 0;
  std::size_t HeaderBytes = 0;
  bool Sent = false;
  bool RepeatRefused = false;
  bool TooLarge = false;
  bool Echoed = false;
  /// The head that was read last; an interim response's until the final one's
  /// begins.
  ResponseHead Head;
  HttpResponse Response;
  std::string Malformed;
  /// As large as libcurl's CURL_ERROR_SIZE.
  std::array<char, 256> ErrorText = {};
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_HTTP_CURLTRANSFER_H
