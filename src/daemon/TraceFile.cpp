#include "daemon/TraceFile.h"

namespace quetzallead {

TraceFile::TraceFile(const std::string &Path, std::uint64_t Period)
    : Enabled(!Path.empty()), Every(Period) {
  if (Enabled)
    Out.open(Path, std::ios::app);
}

bool TraceFile::takesNext() {
  return Enabled &&
         Counter.fetch_add(1, std::memory_order_relaxed) % Every == 0;
}

void TraceFile::write(const std::string &Line) {
  PosixMutexLock Lock(&Mutex);
  Out << Line << '\n';
  Out.flush();
}

} // namespace quetzallead
