#include "daemon/SignalMask.h"

#include <csignal>

namespace lagoonspoke {

namespace {

void changeMask(int how, std::initializer_list<int> signals)
{
    sigset_t set;
    sigemptyset(&set);
    for (int signal : signals) {
        sigaddset(&set, signal);
    }
    pthread_sigmask(how, &set, nullptr);
}

} // namespace

void blockSignals(std::initializer_list<int> signals)
{
    changeMask(SIG_BLOCK, signals);
}

void unblockSignals(std::initializer_list<int> signals)
{
    changeMask(SIG_UNBLOCK, signals);
}

} // namespace lagoonspoke
