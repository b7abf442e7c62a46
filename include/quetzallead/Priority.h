#ifndef QUETZALLEAD_PRIORITY_H
#define QUETZALLEAD_PRIORITY_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// How urgent a request is. On the wire: RFC 9218 urgency, u=0 to u=2 is
/// Urgent, u=3 to u=5 is Ordinary, u=6 and u=7 is Background.
enum class Priority { Urgent, Ordinary, Background };

inline constexpr NamedValue<Priority> PriorityNames[] = {
    {Priority::Urgent, "urgent"},
    {Priority::Ordinary, "ordinary"},
    {Priority::Background, "background"},
};

inline constexpr int PriorityCount = 3;

} // namespace quetzallead

#endif // QUETZALLEAD_PRIORITY_H
