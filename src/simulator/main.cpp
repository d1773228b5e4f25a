// The program that connects the decision engine to the simulator. It reads frames from standard input and
// writes replies to standard output.
#include <iostream>

#include "simulator/dispatcher.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return ivyreel::simulator::serve(std::cin, std::cout, std::cerr);
}
