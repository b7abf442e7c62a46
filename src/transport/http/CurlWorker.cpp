#include "transport/http/CurlWorker.h"
#include <cstdint>
#include <ctime>
#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace quetzallead {
namespace {

constexpr int MaxEventsPerWait = 256;
/// Easy handles kept for reuse per thread.
constexpr std::size_t MaxIdleEasyHandles = 1024;
constexpr long MsPerSecond = 1000;
constexpr long NsPerMs = 1000000;

void addToEpoll(int Epoll, int Descriptor) {
  epoll_event Event = {};
  Event.events = EPOLLIN;
  Event.data.fd = Descriptor;
  epoll_ctl(Epoll, EPOLL_CTL_ADD, Descriptor, &Event);
}

void drain(int Descriptor) {
  std::uint64_t Count = 0;
  ssize_t Ignored = read(Descriptor, &Count, sizeof(Count));
  static_cast<void>(Ignored);
}

int curlEvents(std::uint32_t Events) {
  int Out = 0;
  if (Events & (EPOLLIN | EPOLLHUP))
    Out |= CURL_CSELECT_IN;
  if (Events & EPOLLOUT)
    Out |= CURL_CSELECT_OUT;
  if (Events & EPOLLERR)
    Out |= CURL_CSELECT_ERR;
  return Out;
}

} // namespace

CurlWorker::CurlWorker(HttpClient::Options GivenOptions)
    : Options(std::move(GivenOptions)), Multi(curl_multi_init()),
      EpollDescriptor(epoll_create1(EPOLL_CLOEXEC)),
      WakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      TimerDescriptor(
          timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(Options.MaxIdleConnections));
  curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  addToEpoll(EpollDescriptor, WakeDescriptor);
  addToEpoll(EpollDescriptor, TimerDescriptor);
  Thread = std::thread([this] { run(); });
}

CurlWorker::~CurlWorker() {
  for (void *Easy : IdleEasyHandles)
    curl_easy_cleanup(Easy);
  curl_multi_cleanup(Multi);
  close(TimerDescriptor);
  close(WakeDescriptor);
  close(EpollDescriptor);
}

void CurlWorker::start(std::unique_ptr<CurlTransfer> Transfer) {
  {
    std::lock_guard<std::mutex> Guard(Lock);
    if (!Stopping) {
      push(Command{std::move(Transfer), 0});
      return;
    }
  }
  Transfer->complete(Transfer->fail(TransferFailure::Cancelled));
}

void CurlWorker::cancel(HttpClient::CallId Id) {
  std::lock_guard<std::mutex> Guard(Lock);
  if (!Stopping)
    push(Command{nullptr, Id});
}

void CurlWorker::stop() {
  std::lock_guard<std::mutex> Guard(Lock);
  Stopping = true;
  eventfd_write(WakeDescriptor, 1);
}

void CurlWorker::push(Command C) {
  // The thread takes all commands at once, so one wake-up serves many.
  if (Commands.empty())
    eventfd_write(WakeDescriptor, 1);
  Commands.push_back(std::move(C));
}

void CurlWorker::run() {
  for (;;) {
    waitForEvents();
    takeCommands();
    while (TimerDue) {
      TimerDue = false;
      drive(CURL_SOCKET_TIMEOUT, 0);
    }
    deliverFinished();
    std::lock_guard<std::mutex> Guard(Lock);
    if (Stopping && Commands.empty())
      break;
  }
  while (!Active.empty())
    abandon(Active.begin()->first);
}

void CurlWorker::waitForEvents() {
  epoll_event Events[MaxEventsPerWait];
  // A finished transfer may have made the completion start another one.
  int Count =
      epoll_wait(EpollDescriptor, Events, MaxEventsPerWait, TimerDue ? 0 : -1);
  for (int I = 0; I < Count; ++I) {
    int Descriptor = Events[I].data.fd;
    if (Descriptor == WakeDescriptor) {
      drain(WakeDescriptor);
    } else if (Descriptor == TimerDescriptor) {
      drain(TimerDescriptor);
      TimerDue = true;
    } else {
      drive(Descriptor, curlEvents(Events[I].events));
    }
  }
}

void CurlWorker::takeCommands() {
  std::vector<Command> Taken;
  {
    std::lock_guard<std::mutex> Guard(Lock);
    Taken.swap(Commands);
  }
  for (Command &C : Taken) {
    if (C.Transfer)
      begin(std::move(C.Transfer));
    else
      abandon(C.Cancelled);
  }
}

void CurlWorker::begin(std::unique_ptr<CurlTransfer> Transfer) {
  void *Easy = acquireEasy();
  Transfer->OnDefect = [this, Id = Transfer->id()] { Defective.push_back(Id); };
  if (!Transfer->prepare(Easy)) {
    releaseEasy(Easy);
    Transfer->complete(Transfer->fail(TransferFailure::NotSent));
    return;
  }
  curl_multi_add_handle(Multi, Easy);
  HttpClient::CallId Id = Transfer->id();
  Active.emplace(Id, std::move(Transfer));
}

void CurlWorker::abandon(HttpClient::CallId Id) {
  auto Found = Active.find(Id);
  if (Found == Active.end())
    return;
  HttpOutcome Outcome = Found->second->fail(TransferFailure::Cancelled);
  end(Found, std::move(Outcome));
}

void CurlWorker::endDefective() {
  std::vector<HttpClient::CallId> Ids;
  Ids.swap(Defective);
  for (HttpClient::CallId Id : Ids) {
    auto Found = Active.find(Id);
    if (Found == Active.end())
      continue;
    HttpOutcome Outcome = Found->second->finish(CURLE_WEIRD_SERVER_REPLY);
    end(Found, std::move(Outcome));
  }
}

void CurlWorker::end(TransferMap::iterator Ended, HttpOutcome Outcome) {
  std::unique_ptr<CurlTransfer> Transfer = std::move(Ended->second);
  Active.erase(Ended);
  // Closes the connection unless its response has been read.
  curl_multi_remove_handle(Multi, Transfer->easy());
  releaseEasy(Transfer->easy());
  if (Outcome.Failure == TransferFailure::BadResponse && Options.OnBadResponse)
    Options.OnBadResponse(Transfer->address(), Outcome.Detail);
  Transfer->complete(std::move(Outcome));
}

void CurlWorker::deliverFinished() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURL *Easy = Message->easy_handle;
    CURLcode Code = Message->data.result;
    char *Private = nullptr;
    curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Private);
    auto Id = reinterpret_cast<CurlTransfer *>(Private)->id();
    auto Found = Active.find(Id);
    HttpOutcome Outcome = Found->second->finish(Code);
    end(Found, std::move(Outcome));
  }
}

void CurlWorker::drive(int Descriptor, int Events) {
  int Running = 0;
  curl_multi_socket_action(Multi, Descriptor, Events, &Running);
  endDefective();
}

void *CurlWorker::acquireEasy() {
  if (IdleEasyHandles.empty())
    return curl_easy_init();
  void *Easy = IdleEasyHandles.back();
  IdleEasyHandles.pop_back();
  return Easy;
}

void CurlWorker::releaseEasy(void *Easy) {
  if (IdleEasyHandles.size() >= MaxIdleEasyHandles) {
    curl_easy_cleanup(Easy);
    return;
  }
  curl_easy_reset(Easy);
  IdleEasyHandles.push_back(Easy);
}

int CurlWorker::onSocket(void *, int Descriptor, int What, void *Cls,
                         void *Known) {
  static_cast<CurlWorker *>(Cls)->watch(Descriptor, What, Known != nullptr);
  return 0;
}

void CurlWorker::watch(int Descriptor, int What, bool Known) {
  if (What == CURL_POLL_REMOVE) {
    epoll_ctl(EpollDescriptor, EPOLL_CTL_DEL, Descriptor, nullptr);
    return;
  }
  epoll_event Event = {};
  Event.data.fd = Descriptor;
  if (What & CURL_POLL_IN)
    Event.events |= EPOLLIN;
  if (What & CURL_POLL_OUT)
    Event.events |= EPOLLOUT;
  epoll_ctl(EpollDescriptor, Known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, Descriptor,
            &Event);
  if (!Known)
    curl_multi_assign(Multi, Descriptor, this);
}

int CurlWorker::onTimer(void *, long TimeoutMs, void *Cls) {
  auto *Self = static_cast<CurlWorker *>(Cls);
  Self->TimerDue = TimeoutMs == 0;
  // An earlier setting that is left armed only causes a call too many.
  if (TimeoutMs <= 0)
    return 0;
  itimerspec Spec = {};
  Spec.it_value.tv_sec = TimeoutMs / MsPerSecond;
  Spec.it_value.tv_nsec = TimeoutMs % MsPerSecond * NsPerMs;
  timerfd_settime(Self->TimerDescriptor, 0, &Spec, nullptr);
  return 0;
}

} // namespace quetzallead
