#ifndef QUETZALLEAD_LOADREPORT_H
#define QUETZALLEAD_LOADREPORT_H

namespace quetzallead {

/// What a backend server says of its own load; may lag or mislead.
struct LoadReport {
  int Slots = 0;
  int Busy = 0;
  int Queued = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOADREPORT_H
