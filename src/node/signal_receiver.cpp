#include "node/signal_receiver.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace ivyreel {

namespace {

sigset_t controlSignals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) {
        sigaddset(&signals, number);
    }
    return signals;
}

int openDescriptor() {
    const sigset_t signals = controlSignals();
    return ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

}  // namespace

SignalReceiver::SignalReceiver(Scheduler& scheduler)
    : signal_(scheduler), descriptor_(signal_, openDescriptor()) {}

void SignalReceiver::blockSignals() {
    const sigset_t signals = controlSignals();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

std::optional<int> SignalReceiver::take() const {
    signalfd_siginfo info{};
    if (::read(descriptor_.descriptor(), &info, sizeof info) != sizeof info) return std::nullopt;
    return static_cast<int>(info.ssi_signo);
}

}  // namespace ivyreel
