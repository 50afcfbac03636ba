#pragma once

#include <initializer_list>

namespace lagoonspoke {

// Keeps the signals pending for the calling thread and the threads that it starts. A signal without a handler ends the
// process, so those of a daemon are blocked while it has none.
void blockSignals(std::initializer_list<int>);
// Delivers what is pending.
void unblockSignals(std::initializer_list<int>);

} // namespace lagoonspoke
